#include "cedarpoint/fleet/stall_rule.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

TEST(a_stream, is_waited_for_twice_its_routes_aim_and_not_less_than_a_bound)
{
    EXPECT_EQ(first_event_limit(milliseconds{0}), milliseconds{700});
    EXPECT_EQ(first_event_limit(milliseconds{350}), milliseconds{700});
    EXPECT_EQ(first_event_limit(milliseconds{351}), milliseconds{702});
    EXPECT_EQ(event_pause_limit(milliseconds{200}), milliseconds{400});
    EXPECT_EQ(event_pause_limit(milliseconds{201}), milliseconds{402});
}

} // namespace
} // namespace cedarpoint

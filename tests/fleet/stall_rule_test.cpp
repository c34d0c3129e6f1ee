#include "cedarpoint/fleet/stall_rule.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

TEST(a_stream, has_a_limit_of_twice_its_routes_target_and_no_less_than_a_minimum)
{
    EXPECT_EQ(first_event_timeout(milliseconds{0}), milliseconds{700});
    EXPECT_EQ(first_event_timeout(milliseconds{350}), milliseconds{700});
    EXPECT_EQ(first_event_timeout(milliseconds{351}), milliseconds{702});
    EXPECT_EQ(event_gap_timeout(milliseconds{200}), milliseconds{400});
    EXPECT_EQ(event_gap_timeout(milliseconds{201}), milliseconds{402});
}

} // namespace
} // namespace cedarpoint

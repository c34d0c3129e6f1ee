#include "io/suspension_watch.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

instant at(int ms)
{
    return instant{} + milliseconds{ms};
}

TEST(suspension_watch, tells_each_suspension_once)
{
    suspension_watch watch{at(1000), at(400)};
    EXPECT_EQ(watch.take(at(1020), at(420)), duration{});
    EXPECT_EQ(watch.take(at(4040), at(440)), milliseconds{3000});
    EXPECT_EQ(watch.take(at(4060), at(460)), duration{});
    EXPECT_EQ(watch.take(at(4680), at(480)), milliseconds{600});
}

TEST(suspension_watch, takes_no_pause_of_the_process_for_one)
{
    suspension_watch watch{at(1000), at(400)};
    EXPECT_EQ(watch.take(at(9000), at(8400)), duration{});
}

TEST(suspension_watch, takes_no_time_between_two_readings_for_one)
{
    suspension_watch watch{at(1000), at(400)};
    EXPECT_EQ(watch.take(at(1024), at(420)), duration{});
    EXPECT_EQ(watch.take(at(1040), at(440)), duration{});
}

} // namespace
} // namespace cedarpoint

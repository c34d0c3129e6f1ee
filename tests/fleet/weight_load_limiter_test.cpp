#include "cedarpoint/fleet/weight_load_limiter.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};

TEST(loads, keep_to_the_stores_rate_except_before_the_first_request)
{
    weight_load_limiter limiter;
    limiter.set_limits(4.5, 6);
    EXPECT_TRUE(limiter.allows(start, 4, 0));
    EXPECT_FALSE(limiter.allows(start, 4, 6));
    int begun = 0;
    while (limiter.allows(start, 1, 0)) {
        limiter.begin(start, 1);
        ++begun;
    }
    EXPECT_LE(begun, 22) << "4.5 per second over 5 s";
    EXPECT_TRUE(limiter.allows(start + seconds{7}, 1, 0));
    limiter.set_unmetered(true);
    EXPECT_TRUE(limiter.allows(start, 4, 12));
}

TEST(loads, are_limited_to_the_number_that_runs_at_full_speed)
{
    weight_load_limiter limiter;
    limiter.set_limits(100, 6);
    EXPECT_TRUE(limiter.allows(start, 1, 5));
    EXPECT_FALSE(limiter.allows(start, 1, 6));
    EXPECT_TRUE(limiter.allows(start, 9, 0))
        << "a group larger than the limit begins while no other load runs";
    EXPECT_TRUE(limiter.allows(start, 0, 100)) << "zero loads are always allowed";
    limiter.set_unmetered(true);
    EXPECT_TRUE(limiter.allows(start, 1, 100))
        << "the store counts no loads before the first request";
}

TEST(loads, that_nothing_waits_for_begin_only_while_no_other_runs)
{
    weight_load_limiter limiter;
    limiter.set_limits(1, 6);
    EXPECT_TRUE(limiter.allows_background(start, 0));
    EXPECT_FALSE(limiter.allows_background(start, 1));
    limiter.begin(start, 4);
    EXPECT_FALSE(limiter.allows_background(start, 0)) << "the rate is exhausted";
    limiter.set_unmetered(true);
    EXPECT_TRUE(limiter.allows_background(start, 100));
}

TEST(loads, count_for_a_second_longer_than_the_stores_window)
{
    weight_load_limiter limiter;
    limiter.set_limits(1, 100);
    limiter.begin(start, 4);
    EXPECT_FALSE(limiter.allows(start + milliseconds{5999}, 1, 0))
        << "4 of 4 are used; the rate allows 5 per window, of which 80% are used";
    EXPECT_TRUE(limiter.allows(start + seconds{6}, 4, 0));
    EXPECT_FALSE(limiter.allows(start + seconds{6}, 5, 0));
}

} // namespace
} // namespace cedarpoint

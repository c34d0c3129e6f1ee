#include "cedarpoint/fleet/windowed_retry_budget.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

/// Start of a daemon that has run for longer than a window.
constexpr instant long_ago = instant{} - seconds{60};

TEST(a_budget, allows_a_share_of_the_traffic_and_of_the_slack)
{
    windowed_retry_budget budget{
        {.ratio = 0.2, .window = milliseconds{10'000}, .slack = 20, .safety = 1}, long_ago};
    const instant now{seconds{100}};
    for (int n = 0; n < 50; ++n) {
        budget.on_first_attempt(now);
    }
    int taken = 0;
    while (budget.take(now, 2)) {
        ++taken;
    }
    EXPECT_EQ(taken, 20) << "20% of 50 requests, plus half of the slack of 20";
    EXPECT_FALSE(budget.take(now + seconds{9}, 2));
    EXPECT_TRUE(budget.take(now + seconds{11}, 2)) << "the window has passed";
}

TEST(a_budget, has_no_share_of_the_slack_while_the_number_of_daemons_is_unknown)
{
    windowed_retry_budget budget{{.ratio = 0.2, .slack = 100, .safety = 1}, long_ago};
    EXPECT_FALSE(budget.take(instant{}, 0));
    EXPECT_TRUE(budget.take(instant{}, 4));
}

TEST(a_budget, holds_for_every_window_although_it_counts_in_buckets)
{
    // With a ratio of 0.5 and no slack, two requests allow one retry.
    windowed_retry_budget budget{
        {.ratio = 0.5, .window = milliseconds{10'000}, .slack = 0, .safety = 1}, long_ago};
    const instant start{seconds{100}};
    budget.on_first_attempt(start);
    EXPECT_FALSE(budget.take(start, 1)) << "half a retry allows none";
    budget.on_first_attempt(start);
    const auto last_moment = start + milliseconds{9750};
    EXPECT_FALSE(budget.take(last_moment + milliseconds{1}, 1))
        << "first attempts count for a bucket less than the window";
    budget.on_first_attempt(last_moment);
    budget.on_first_attempt(last_moment);
    EXPECT_TRUE(budget.take(last_moment, 1));
    const auto later = last_moment + milliseconds{10'250};
    budget.on_first_attempt(later);
    budget.on_first_attempt(later);
    EXPECT_FALSE(budget.take(later, 1)) << "retries count for a bucket more than the window";
    EXPECT_TRUE(budget.take(later + milliseconds{1}, 1));
}

// Guards against exceeding the slack after restarts. Each daemon has a share of the slack; a daemon
// that uses its share, restarts and gets a new one lets the fleet retry up to twice the slack
// within one window: 72 retries where 60 are allowed.
TEST(a_budget, is_kept_by_daemons_that_restart_within_a_window)
{
    constexpr std::size_t daemons = 9;
    const retry_budget_options options{
        .ratio = 0.2, .window = milliseconds{10'000}, .slack = 60, .safety = 0.6};
    const instant now{seconds{100}};
    int taken = 0;
    const auto use_up = [&](windowed_retry_budget budget, instant at) {
        while (budget.take(at, daemons)) {
            ++taken;
        }
    };
    for (std::size_t each = 0; each < daemons; ++each) {
        use_up({options, long_ago}, now);
    }
    const auto restarted = now + seconds{1};
    for (std::size_t each = 0; each < daemons; ++each) {
        use_up({options, restarted}, restarted + seconds{1});
    }
    EXPECT_LE(taken, options.slack);
    for (std::size_t each = 0; each < daemons; ++each) {
        use_up({options, restarted}, restarted + seconds{10});
    }
    EXPECT_GT(taken, options.slack) << "after a window the daemons have their shares again";
}

} // namespace
} // namespace cedarpoint

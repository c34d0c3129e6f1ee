#include "cedarpoint/runner_signals/send_holds.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
const runner_id runner{"i-1"};
constexpr incarnation first{1000};
constexpr incarnation second{2000};

std::map<runner_id, incarnation> view_with(incarnation its_incarnation)
{
    return {{runner, its_incarnation}, {runner_id{"i-2"}, incarnation{1}}};
}

// Guards against a pause being ended by anything but its time.
TEST(a_pause, is_ended_by_its_time_alone)
{
    send_holds holds;
    holds.on_pause(start, runner, first, seconds{3});
    EXPECT_EQ(holds.find(start, runner), send_hold::paused);
    EXPECT_EQ(holds.find(start, runner_id{"i-2"}), send_hold::none);

    // The runner asks for a shorter pause.
    holds.on_pause(start + seconds{1}, runner, first, milliseconds{100});
    EXPECT_EQ(holds.paused_until(start + seconds{2}, runner), start + seconds{3});

    // The runner disappears from the view and returns in the same incarnation.
    holds.on_incarnations(start + seconds{1}, {});
    holds.on_incarnations(start + seconds{2}, view_with(first));
    EXPECT_EQ(holds.find(start + milliseconds{2999}, runner), send_hold::paused);
    EXPECT_EQ(holds.count_paused(start + seconds{2}), 1U);

    EXPECT_EQ(holds.find(start + seconds{3}, runner), send_hold::none);
    EXPECT_EQ(holds.paused_until(start + seconds{3}, runner), std::nullopt);
    EXPECT_EQ(holds.count_paused(start + seconds{3}), 0U);
}

TEST(a_pause, is_made_longer_by_a_later_answer)
{
    send_holds holds;
    holds.on_pause(start, runner, first, seconds{3});
    holds.on_pause(start + seconds{2}, runner, first, seconds{3});
    EXPECT_EQ(holds.paused_until(start + seconds{2}, runner), start + seconds{5});
}

TEST(a_pause, does_not_apply_to_a_new_incarnation)
{
    send_holds holds;
    holds.on_pause(start, runner, first, seconds{60});
    holds.on_incarnations(start + seconds{5}, view_with(second));
    EXPECT_EQ(holds.find(start + seconds{5}, runner), send_hold::none);
}

TEST(a_pause, that_a_new_incarnation_may_have_asked_for_before_the_view_showed_it_holds)
{
    send_holds holds;
    holds.on_pause(start, runner, first, seconds{3});
    holds.on_incarnations(start + milliseconds{300}, view_with(second));
    EXPECT_EQ(holds.find(start + seconds{2}, runner), send_hold::paused);
}

TEST(a_leave, lasts_for_the_incarnation_regardless_of_the_view)
{
    send_holds holds;
    EXPECT_TRUE(holds.on_leaving(start, runner, first));
    EXPECT_FALSE(holds.on_leaving(start, runner, first));
    holds.on_incarnations(start + seconds{1}, view_with(first));
    holds.on_incarnations(start + seconds{300}, {});
    holds.on_incarnations(start + seconds{310}, view_with(first));
    EXPECT_EQ(holds.find(start + seconds{320}, runner), send_hold::leaving);
    EXPECT_EQ(holds.leaving().at(runner), first);
    EXPECT_EQ(holds.count_leaving(), 1U);

    holds.on_incarnations(start + seconds{400}, view_with(second));
    EXPECT_EQ(holds.find(start + seconds{400}, runner), send_hold::none);
    EXPECT_FALSE(holds.on_leaving(start + seconds{401}, runner, first))
        << "a late answer from the earlier incarnation";
    EXPECT_EQ(holds.find(start + seconds{401}, runner), send_hold::none);
}

TEST(a_leave, is_dropped_once_the_runner_has_been_absent_for_long)
{
    send_holds holds;
    holds.on_leaving(start, runner, first);
    holds.on_incarnations(start + seconds{1}, {});
    holds.on_incarnations(start + seconds{62}, {});
    EXPECT_TRUE(holds.leaving().empty());
}

} // namespace
} // namespace cedarpoint

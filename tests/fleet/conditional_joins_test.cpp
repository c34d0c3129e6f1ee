// Orders to join that depend on what the runner has reported, at engines that check the condition
// and no fences.

#include "fleet/planner_world.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::planner_world;

/// A fleet of nine runners, with one group of each model and two spare runners.
class a_fleet_with_conditions : public testing::Test {
protected:
    a_fleet_with_conditions() { world.add_runners("a-0", 9); }
    /// Holds the first order of this kind to the runner.
    void hold_first(const runner_id& runner, order_kind kind)
    {
        world.is_held = [this, runner, kind](const group_order& order) {
            return order.to == runner && order.kind == kind && world.held().empty();
        };
    }
    /// Calls `event` just before the runner's first order to join a group other than `left`
    /// arrives.
    void before_next_join(const runner_id& runner, const group_id& left,
                          const std::function<void()>& event)
    {
        world.is_held = [this, runner, left, event](const group_order& order) {
            if (!is_ordered_elsewhere && order.to == runner && order.kind == order_kind::join &&
                order.group != left) {
                is_ordered_elsewhere = true;
                event();
            }
            return false;
        };
    }

    planner_world world{{.check_fences = false, .check_conditions = true}};
    bool is_ordered_elsewhere = false;
};

// Guards against a runner that has restarted unheard, is put back into its earlier group by a late
// copy, and joins another one while the head of the first is open.
TEST_F(a_fleet_with_conditions, has_no_member_in_two_groups_after_a_restart_that_is_not_heard)
{
    const runner_id member{"i-003"};
    hold_first(member, order_kind::join);
    world.run(seconds{12});
    const auto members = world.members_of_some_group("small");
    ASSERT_EQ(std::count(members.begin(), members.end(), member), 1);
    ASSERT_EQ(world.held().size(), 1U);

    bool is_put_back = false;
    before_next_join(member, world.group_of(member), [&] {
        world.restart(member, seconds{2});
        is_put_back = world.carry_out_held(0);
    });
    world.set_unreachable(members.front(), true);
    world.run(seconds{12});
    EXPECT_TRUE(is_ordered_elsewhere);
    EXPECT_TRUE(is_put_back);
    EXPECT_EQ(join_lines(world.violations()), "");
    EXPECT_EQ(world.serving_groups("small"), 1U) << world.plan();
}

// Guards against a head that opens its earlier group again by late copies, because a leader of an
// earlier version has sent two orders to join under one epoch, and then joins the next one.
TEST_F(a_fleet_with_conditions, has_no_head_of_an_earlier_leader_in_two_groups)
{
    const runner_id head{"i-001"};
    hold_first(head, order_kind::open);
    world.run(seconds{12});
    const auto left = world.group_of(head);
    const auto members = world.members_of_some_group("small");
    ASSERT_EQ(members.front(), head);
    ASSERT_EQ(world.held().size(), 1U);
    world.change_leader();
    world.run(seconds{3});

    world.in_flight = 0;
    bool is_open_again = false;
    before_next_join(head, left, [&] {
        is_open_again = world.repeat_join(head);
        world.step_runners_for(milliseconds{240});
        is_open_again = world.carry_out_held(0) && is_open_again;
        world.step_runners_for(milliseconds{340});
    });
    world.drain(members.back());
    world.run(seconds{12});
    EXPECT_TRUE(is_ordered_elsewhere);
    EXPECT_TRUE(is_open_again);
    EXPECT_EQ(join_lines(world.violations()), "");
    EXPECT_GE(world.serving_groups("small") + world.serving_groups("large"), 2U) << world.plan();
}

// Guards against a runner that is never used again because it reports to be in a group that ended
// before it was opened.
TEST_F(a_fleet_with_conditions, uses_the_members_of_a_group_that_was_never_opened)
{
    const runner_id head{"i-001"};
    world.lose_answers = true;
    while (world.group_of(head).empty()) {
        world.run(milliseconds{20});
    }
    world.run(milliseconds{600}); // all members have joined, and load their weights
    const auto ended = world.group_of(head);
    const auto runners = world.alive_runners();
    const auto member = std::find_if(runners.begin(), runners.end(), [&](const auto& each) {
        return each != head && world.group_of(each) == ended;
    });
    ASSERT_NE(member, runners.end());
    world.drain(*member);
    world.lose_answers = false;
    world.run(seconds{12});
    EXPECT_NE(world.group_of(head).str(), ended.str());
    EXPECT_EQ(world.serving_groups("small"), 1U) << world.plan();
    EXPECT_EQ(world.serving_groups("large"), 1U) << world.plan();
    EXPECT_EQ(join_lines(world.violations()), "");
}

// Guards against conditions that a runner never meets, so that it is never used again.
TEST_F(a_fleet_with_conditions, forms_its_groups_again_after_each_change_of_leader)
{
    world.run(seconds{12});
    for (int n = 0; n < 5; ++n) {
        world.change_leader();
        world.run(seconds{3});
        const auto members = world.members_of_some_group("large");
        ASSERT_FALSE(members.empty());
        world.in_flight = 0;
        world.drain(members.back());
        world.add_runners("a-0", 1);
        world.run(seconds{12});
        EXPECT_GE(world.serving_groups("small") + world.serving_groups("large"), 2U)
            << world.plan();
    }
    EXPECT_EQ(join_lines(world.violations()), "");
}

} // namespace
} // namespace cedarpoint

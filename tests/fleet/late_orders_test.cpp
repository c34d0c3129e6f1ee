// Orders that are carried out seconds late, at engines that check epochs but no fences.

#include "fleet/planner_world.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>
#include <tuple>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::planner_world;

/// A fleet of nine runners, with one group of each model and two spare runners.
class a_fleet_without_fences : public testing::Test {
protected:
    a_fleet_without_fences() { world.add_runners("a-0", 9); }
    /// Holds the first order of each of these kinds to the runner.
    void hold_first(const runner_id& runner, const std::set<order_kind>& kinds)
    {
        world.is_held = [this, runner, kinds](const group_order& order) {
            return order.to == runner && kinds.contains(order.kind) &&
                   seen.insert({order.to, order.kind}).second;
        };
    }
    /// Ends the group of `members` as a member of it drains, and runs until the head has left.
    void drain_one_of(const std::vector<runner_id>& members)
    {
        world.in_flight = 0;
        world.drain(members.back());
        for (int n = 0; n < 500 && !world.group_of(members.front()).empty(); ++n) {
            world.run(milliseconds{20});
        }
        ASSERT_EQ(world.group_of(members.front()), group_id{}) << "the head has left its group";
    }
    /// Carries out the held order to the runner just before its order to join a group other than
    /// `left` arrives.
    void overtake_next_join(const runner_id& runner, const group_id& left)
    {
        world.is_held = [this, runner, left](const group_order& order) {
            const bool next_join =
                order.to == runner && order.kind == order_kind::join && order.group != left;
            if (next_join && !is_overtaken) {
                is_overtaken = true;
                world.carry_out_held(0);
            }
            return false;
        };
    }
    /// Carries out the oldest held order of the kind.
    bool carry_out(order_kind kind)
    {
        const auto& held = world.held();
        const auto found = std::find_if(held.begin(), held.end(),
                                        [&](const auto& order) { return order.kind == kind; });
        return world.carry_out_held(static_cast<std::size_t>(found - held.begin()));
    }

    planner_world world{{.check_fences = false}};
    std::set<std::tuple<runner_id, order_kind>> seen;
    bool is_overtaken = false;      ///< `overtake_next_join` has carried an order out
    const runner_id first{"i-001"}; ///< the head of the group of three
};

// Guards against a late copy of the order to join that lets a head open the group that it has left.
TEST_F(a_fleet_without_fences, has_no_head_that_opens_its_group_again_after_it_has_left)
{
    hold_first(first, {order_kind::join, order_kind::open});
    world.run(seconds{12});
    const auto left = world.group_of(first);
    ASSERT_NE(left, group_id{});
    ASSERT_EQ(world.held().size(), 2U);
    const auto members = world.members_of_some_group("small");
    ASSERT_EQ(members.front(), first);

    world.is_held = [&](const group_order& order) {
        return order.to == first && order.kind == order_kind::join;
    };
    drain_one_of(members);
    for (int n = 0; n < 100 && world.held().size() < 3; ++n) {
        world.run(milliseconds{20});
    }
    ASSERT_GE(world.held().size(), 3U) << "the head is ordered to join its next group";
    world.change_leader();
    carry_out(order_kind::join);
    world.run(milliseconds{240});
    carry_out(order_kind::open);
    world.run(milliseconds{340});
    EXPECT_NE(world.group_of(first).str(), left.str())
        << "the first copy of its order to join counts no more";
    carry_out(order_kind::join);
    EXPECT_EQ(join_lines(world.violations()), "");
}

// Guards against a late copy of the order to join that puts a member back into a group whose head
// can't be reached and still serves.
TEST_F(a_fleet_without_fences, has_no_member_that_is_back_in_its_group_as_it_joins_the_next)
{
    const runner_id member{"i-003"};
    hold_first(member, {order_kind::join});
    world.run(seconds{12});
    const auto members = world.members_of_some_group("small");
    ASSERT_EQ(std::count(members.begin(), members.end(), member), 1);
    ASSERT_EQ(world.held().size(), 1U);
    const auto left = world.group_of(member);

    overtake_next_join(member, left);
    world.set_unreachable(members.front(), true);
    world.run(seconds{10});
    EXPECT_TRUE(is_overtaken) << "the member is used in another group";
    EXPECT_EQ(join_lines(world.violations()), "");
    EXPECT_EQ(world.serving_groups("small"), 1U);
}

// Guards against a member that restarts after it has left, and so accepts an order to join its
// earlier group again.
TEST_F(a_fleet_without_fences, has_no_restarted_member_that_is_back_in_its_earlier_group)
{
    const runner_id member{"i-003"};
    hold_first(member, {order_kind::join});
    world.run(seconds{12});
    const auto members = world.members_of_some_group("small");
    ASSERT_EQ(world.held().size(), 1U);
    const auto left = world.group_of(member);
    world.is_held = {};
    world.set_unreachable(members.front(), true);
    for (int n = 0; n < 500 && world.group_of(member) == left; ++n) {
        world.run(milliseconds{20});
    }
    ASSERT_NE(world.group_of(member).str(), left.str());

    overtake_next_join(member, left);
    world.restart(member);
    world.run(seconds{10});
    EXPECT_TRUE(is_overtaken) << "the member is used in another group";
    EXPECT_EQ(join_lines(world.violations()), "");
}

// Guards against a head that restarts, is put back into the group that it has left under an earlier
// epoch, and is never used again because each order to leave names the latest one.
TEST_F(a_fleet_without_fences, uses_a_head_again_that_is_back_in_its_group_under_an_earlier_epoch)
{
    hold_first(first, {order_kind::join});
    world.run(seconds{12});
    const auto left = world.group_of(first);
    const auto members = world.members_of_some_group("small");
    ASSERT_EQ(world.held().size(), 1U);
    world.set_partitioned(members[1], true); // so the group does not end
    drain_one_of(members);
    world.restart(first);
    ASSERT_TRUE(carry_out(order_kind::join));
    ASSERT_EQ(world.group_of(first), left);
    world.run(seconds{15});
    EXPECT_NE(world.group_of(first).str(), left.str()) << world.plan();
    EXPECT_EQ(join_lines(world.violations()), "");
}

// Guards against a group that waits for ever for a member that takes no order.
TEST_F(a_fleet_without_fences, forms_its_groups_without_a_runner_that_takes_no_order)
{
    for (const auto* deaf : {"i-001", "i-003"}) {
        SCOPED_TRACE(deaf);
        planner_world it{{.check_fences = false}};
        it.add_runners("a-0", 8);
        it.is_held = [&](const group_order& order) { return order.to == runner_id{deaf}; };
        it.run(seconds{30});
        EXPECT_EQ(it.serving_groups("large") + it.serving_groups("small"), 2U) << it.plan();
        EXPECT_EQ(join_lines(it.violations()), "");
    }
}

} // namespace
} // namespace cedarpoint

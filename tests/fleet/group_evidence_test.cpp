// What the leader may conclude about a group's members from the plan and from their reports.

#include "cedarpoint/fleet/group_evidence.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
const runner_id head{"i-1"};
const runner_id member{"i-2"};

class the_members_of_a_group : public testing::Test {
protected:
    the_members_of_a_group()
    {
        group.name = group_id{"g"};
        group.assignment = epoch{7};
        group.members = {head, member};
        group.phase = plan_phase::disbanding;
        group.since = start;
        plan.add(group);
        receive_heartbeat(start, head, group.name);
        receive_heartbeat(start, member, group.name);
    }
    /// Delivers the runner's next heartbeat. It names the group `in`, or no group if `in` is empty.
    void receive_heartbeat(instant now, const runner_id& runner, const group_id& in)
    {
        announcement heartbeat;
        heartbeat.id = runner;
        heartbeat.address = *endpoint::parse("10.0.0." + runner.str().substr(2) + ":80");
        heartbeat.sequence = ++sequence;
        if (!in.empty()) {
            heartbeat.membership = group_membership{in, group.assignment, runner == head ? 0U : 1U,
                                                    member_phase::ready};
        }
        registry.announce(now, heartbeat);
    }
    void free(const runner_id& runner)
    {
        plan.free(group, runner, registry.find(runner)->latest.number());
    }

    planned_group group;
    group_plan plan;
    runner_registry registry;
    health_reports reports;
    fleet_state state;
    failure_detector detector{{}, registry, reports, state};
    group_evidence evidence{plan, detector, registry};
    std::uint64_t sequence = 0;
};

TEST_F(the_members_of_a_group, belong_to_it_until_each_has_left)
{
    free(head);
    EXPECT_FALSE(plan.is_bound(head));
    EXPECT_TRUE(plan.is_bound(member)) << "the head's answer frees the head alone";
    free(member);
    EXPECT_FALSE(plan.is_bound(member));
}

TEST_F(the_members_of_a_group, are_back_if_a_later_heartbeat_names_it)
{
    free(member);
    EXPECT_TRUE(plan.is_freed(registry.find(member)->latest));
    EXPECT_FALSE(evidence.has_rejoined(group, member)) << "that heartbeat is from before it left";
    receive_heartbeat(start, member, group.name);
    EXPECT_FALSE(plan.is_freed(registry.find(member)->latest));
    EXPECT_TRUE(evidence.has_rejoined(group, member));

    planned_group next = group;
    next.name = group_id{"next"};
    EXPECT_TRUE(evidence.is_in_other_group(next, member));
    receive_heartbeat(start, member, {});
    EXPECT_FALSE(evidence.has_rejoined(group, member));
    EXPECT_FALSE(evidence.is_in_other_group(next, member));
}

TEST_F(the_members_of_a_group, are_back_if_a_later_incarnation_of_them_names_it)
{
    free(member);
    auto restarted = registry.find(member)->latest;
    restarted.born = {1'000};
    restarted.sequence = 1; // the new incarnation carried out a delayed order to join
    ASSERT_TRUE(registry.announce(start, restarted));
    EXPECT_FALSE(plan.is_freed(registry.find(member)->latest));
    EXPECT_TRUE(evidence.has_rejoined(group, member));
}

TEST_F(the_members_of_a_group, that_was_never_opened_are_free_whatever_they_report)
{
    plan.free_unopened(group, member, incarnation{});
    receive_heartbeat(start, member, group.name);
    EXPECT_TRUE(plan.is_freed(registry.find(member)->latest));
    EXPECT_FALSE(evidence.has_rejoined(group, member));
}

TEST_F(the_members_of_a_group, are_replaced_once_another_runner_has_their_address)
{
    EXPECT_FALSE(evidence.is_replaced(member));
    registry.note_dead(member);
    EXPECT_TRUE(evidence.is_replaced(member));
    EXPECT_TRUE(evidence.is_replaced(runner_id{"i-3"})) << "a runner that is not in the registry";
    EXPECT_FALSE(evidence.has_head_left(start, group));
    registry.note_dead(head);
    EXPECT_TRUE(evidence.has_head_left(start, group));
}

TEST_F(the_members_of_a_group, without_a_heartbeat_are_not_out_of_it)
{
    const auto later = start + seconds{30};
    EXPECT_FALSE(evidence.has_head_left(later, group));
    EXPECT_FALSE(evidence.has_head_reported(group));
    EXPECT_FALSE(evidence.is_other_member_present(later, group));
    receive_heartbeat(later, member, group.name);
    EXPECT_TRUE(evidence.is_other_member_present(later, group));
    EXPECT_FALSE(evidence.has_head_reported(group));
    receive_heartbeat(later, head, {});
    EXPECT_TRUE(evidence.has_head_reported(group));
    EXPECT_FALSE(evidence.has_head_left(later, group)) << "it has not answered the order to leave";
}

} // namespace
} // namespace cedarpoint

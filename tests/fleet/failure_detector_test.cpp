// The conditions under which a runner counts as silent, suspected, failed or lost.

#include "cedarpoint/fleet/failure_detector.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

constexpr instant start{seconds{100}};
const runner_id head{"i-1"};
const runner_id member{"i-2"};

class a_group_under_watch : public testing::Test {
protected:
    a_group_under_watch()
    {
        group.name = group_id{"g"};
        group.assignment = epoch{7};
        group.members = {head, member};
        group.phase = plan_phase::serving;
        group.since = start;
        receive_heartbeat(start, head, 0);
        receive_heartbeat(start, member, 1);
    }
    void receive_heartbeat(instant now, const runner_id& runner, std::size_t rank,
                           std::uint64_t in_epoch = 7)
    {
        announcement in;
        in.id = runner;
        in.address = *endpoint::parse("10.0.0." + std::to_string(rank + 1) + ":80");
        in.sequence = ++sequence;
        in.membership = group_membership{group.name, epoch{in_epoch}, rank,
                                         rank == 0 ? member_phase::open : member_phase::ready};
        registry.announce(now, in);
    }
    [[nodiscard]] bool fails(instant now, const runner_health& seen) const
    {
        return detector.has_failed(now, group, member, seen);
    }
    [[nodiscard]] static runner_health progressing()
    {
        runner_health out;
        out.since_byte = milliseconds{10};
        return out;
    }
    [[nodiscard]] static runner_health stalled()
    {
        runner_health out;
        out.stalled = true;
        out.since_byte = milliseconds{400};
        return out;
    }
    planned_group group;
    runner_registry registry;
    health_reports reports;
    fleet_state state;
    failure_detector detector{{}, registry, reports, state};
    std::uint64_t sequence = 0;
};

TEST_F(a_group_under_watch, has_a_silent_member_after_one_and_a_half_heartbeats)
{
    EXPECT_EQ(detector.state_of(start + milliseconds{1800}, group, member), member_state::present);
    EXPECT_EQ(detector.state_of(start + milliseconds{1801}, group, member), member_state::silent);
}

TEST_F(a_group_under_watch, has_lost_a_member_that_reports_another_epoch)
{
    receive_heartbeat(start, member, 1, 8);
    EXPECT_EQ(detector.state_of(start, group, member), member_state::lost);
    group.phase = plan_phase::joining;
    EXPECT_EQ(detector.state_of(start, group, member), member_state::present)
        << "while a group forms, a member may not have accepted the order yet";
}

TEST_F(a_group_under_watch, has_a_draining_member_once_that_is_in_the_log)
{
    state.apply(fleet_state::depart(member, false));
    EXPECT_EQ(detector.state_of(start, group, member), member_state::draining);
}

TEST_F(a_group_under_watch, suspects_a_member_after_one_probe_and_finds_it_unresponsive_after_two)
{
    EXPECT_FALSE(detector.is_suspected(member));
    detector.on_probe_failed(member, false);
    EXPECT_TRUE(detector.is_suspected(member));
    EXPECT_FALSE(detector.is_unresponsive(member));
    detector.on_probe_failed(member, false);
    EXPECT_TRUE(detector.is_unresponsive(member));
    detector.on_alive(member);
    EXPECT_FALSE(detector.is_suspected(member));
    detector.on_probe_failed(member, true);
    EXPECT_TRUE(detector.is_unresponsive(member)) << "a reset needs no second probe";
}

// Guards against ending a group, and all its streams with it, because a sound member is silent for
// about a second: three probes in a row fit into 1.1 s.
TEST_F(a_group_under_watch, gives_up_a_member_after_four_probes_where_streams_stall)
{
    EXPECT_FALSE(fails(start, stalled())) << "another member may have caused the stall";
    for (int probe = 1; probe <= 3; ++probe) {
        detector.on_probe_failed(member, false);
        EXPECT_FALSE(fails(start, stalled())) << probe;
        EXPECT_FALSE(fails(start + seconds{4}, stalled())) << probe << ", without a heartbeat";
    }
    detector.on_probe_failed(member, false);
    EXPECT_TRUE(fails(start, stalled()));
    EXPECT_FALSE(fails(start, progressing()));
    detector.on_alive(member);
    EXPECT_FALSE(fails(start, stalled()));
}

TEST_F(a_group_under_watch, gives_up_a_member_that_refuses_at_once_where_streams_stall)
{
    detector.on_probe_failed(member, true);
    EXPECT_TRUE(fails(start, stalled()));
    EXPECT_FALSE(fails(start, progressing()));
}

TEST_F(a_group_under_watch, gives_up_a_silent_unresponsive_member_unless_streams_move)
{
    detector.on_probe_failed(member, true);
    const auto silent = start + milliseconds{1801};
    EXPECT_FALSE(fails(silent, progressing()))
        << "streams with recent bytes prove that all members are present";
    auto idle = progressing();
    idle.since_byte = seconds{2};
    EXPECT_FALSE(fails(silent, idle));
    idle.since_byte += duration{1};
    EXPECT_TRUE(fails(silent, idle));
    EXPECT_FALSE(fails(silent - milliseconds{1}, idle)) << "it is not silent yet";
}

// Guards against ending an idle group, of whose head no entry daemon reports anything, because a
// sound member is silent for about a second.
TEST_F(a_group_under_watch, gives_up_a_silent_member_of_an_idle_group_after_four_probes)
{
    const auto silent = start + milliseconds{1801};
    for (int probe = 1; probe <= 3; ++probe) {
        detector.on_probe_failed(member, false);
        EXPECT_FALSE(fails(silent, runner_health{})) << probe;
    }
    detector.on_probe_failed(member, false);
    EXPECT_TRUE(fails(silent, runner_health{}));
    EXPECT_FALSE(fails(silent - milliseconds{1}, runner_health{})) << "it is not silent yet";
}

TEST_F(a_group_under_watch, has_lost_its_head_only_if_tries_are_younger_than_a_members_answer)
{
    group.phase = plan_phase::waiting;
    const auto now = start + milliseconds{1000};
    health_report report;
    report.checks[head] = {milliseconds{300}, false};
    reports.put(now, daemon_id{"e1"}, report);
    EXPECT_FALSE(detector.is_head_unreachable(now, group)) << "no member has answered";
    group.answered[member] = start + milliseconds{701};
    EXPECT_FALSE(detector.is_head_unreachable(now, group))
        << "the network may have been partitioned during the check";
    group.answered[member] = start + milliseconds{700};
    EXPECT_TRUE(detector.is_head_unreachable(now, group));
}

} // namespace
} // namespace cedarpoint

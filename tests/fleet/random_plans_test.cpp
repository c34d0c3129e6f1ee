// The leader's plan under random faults: runners fail, drain, are partitioned and carry out orders
// late, leaders change, and heartbeats are delayed past a change of leader. The rules are checked
// throughout. Manual run:
//     PLANS_FIRST=1 PLANS_COUNT=2000 build/cedarpoint_tests --gtest_filter='seeds/random_plans*'

#include "fleet/planner_world.h"
#include "support/environment.h"

#include <gtest/gtest.h>
#include <tuple>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::number_from_environment;
using testing_support::planner_world;

constexpr std::uint64_t fault_kinds = 11;

/// The seed, and whether runners check fences, which not all engines do.
class random_plans : public testing::TestWithParam<std::tuple<std::uint64_t, bool>> {
protected:
    /// `kinds`: number of fault kinds to draw from. With `fault_kinds` + 1, the control daemons
    /// are suspended as well.
    static void run_plan(std::uint64_t seed, bool check_fences, std::uint64_t kinds);
};

void random_plans::run_plan(std::uint64_t seed, bool check_fences, std::uint64_t kinds)
{
    planner_world world{{.seed = seed, .late_order_fraction = 0.35, .check_fences = check_fences}};
    world.add_runners("a-0", 9);
    world.add_runners("a-1", 9);
    world.add_runners("b-0", 9);
    std::mt19937_64 random{seed * 7919};
    world.run(seconds{10});
    std::vector<runner_id> partitioned;
    for (int round = 0; round < 60; ++round) {
        const auto runners = world.alive_runners();
        const auto& chosen = runners[random() % runners.size()];
        switch (random() % kinds) {
        case 0:
            world.kill(chosen);
            world.add_runners(round % 2 == 0 ? "a-0" : "b-0", 1);
            break;
        case 1:
            world.set_partitioned(chosen, true);
            partitioned.push_back(chosen);
            break;
        case 2:
            for (const auto& each : partitioned) {
                world.set_unreachable(each, false);
            }
            partitioned.clear();
            break;
        case 3:
            world.change_leader();
            break;
        case 4:
            world.in_flight = static_cast<int>(random() % 30);
            break;
        case 5:
            world.drain(chosen);
            world.add_runners("a-1", 1);
            break;
        case 6:
            world.set_unreachable(chosen, true);
            partitioned.push_back(chosen);
            break;
        case 7:
            for (const auto& each : runners) {
                world.hold_back_heartbeat(each);
            }
            break;
        case 8:
            world.change_leader();
            world.deliver_all_held_back();
            break;
        case fault_kinds:
            world.suspend_control(milliseconds{500 + random() % 29'500});
            break;
        default:
            break;
        }
        world.run(milliseconds{200 + random() % 1500});
        ASSERT_EQ(join_lines(world.violations()), "") << "seed " << seed << " round " << round;
    }
    for (const auto& each : partitioned) {
        world.set_unreachable(each, false);
    }
    world.in_flight = 4;
    world.run(seconds{40});
    EXPECT_EQ(join_lines(world.violations()), "");
    EXPECT_GE(world.serving_groups("large") + world.serving_groups("small"), 2U);
    EXPECT_EQ(world.spread_groups(), 0U) << "a group lies in one fabric domain";
}

TEST_P(random_plans, keep_the_rules_while_runners_and_leaders_come_and_go)
{
    const auto [seed, check_fences] = GetParam();
    run_plan(seed, check_fences, fault_kinds);
}

TEST_P(random_plans, keep_the_rules_while_control_daemons_are_suspended_as_well)
{
    const auto [seed, check_fences] = GetParam();
    run_plan(seed, check_fences, fault_kinds + 1);
}

const std::uint64_t first_seed = number_from_environment("PLANS_FIRST", 1);
const std::uint64_t seed_count = number_from_environment("PLANS_COUNT", 40);

INSTANTIATE_TEST_SUITE_P(seeds, random_plans,
                         testing::Combine(testing::Range(first_seed, first_seed + seed_count),
                                          testing::Bool()));

// A seed that has failed before: an engine that checks no fences carried out a delayed order of an
// earlier leader.
INSTANTIATE_TEST_SUITE_P(kept, random_plans,
                         testing::Combine(testing::Values<std::uint64_t>(828),
                                          testing::Values(false)));

} // namespace
} // namespace cedarpoint

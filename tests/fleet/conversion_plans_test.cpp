// Conversion of capacity to the busier model while runners fail or are partitioned and the leader
// changes during a conversion.

#include "fleet/planner_world.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::planner_world;

/// Two fabric domains in each of two failure domains. Both models are served, and the hosts of
/// runners that serve one model hold the weights of the other.
class a_fleet_whose_work_changes : public testing::Test {
protected:
    a_fleet_whose_work_changes()
    {
        for (const auto* domain : {"a-0", "a-1", "b-0", "b-1"}) {
            world.add_runners(domain, 9);
        }
        world.work = {{"large", 20}, {"small", 20}};
        world.run(seconds{14});
    }
    /// Runs until another group is being converted.
    void run_until_converting()
    {
        const auto before = world.groups_converted();
        for (int step = 0; step < 500 && world.groups_converted() == before; ++step) {
            world.run(milliseconds{20});
        }
        ASSERT_GT(world.groups_converted(), before);
    }
    planner_world world{{.fast_weight_loads = false}};
};

TEST_F(a_fleet_whose_work_changes, gives_the_busier_model_more_groups_within_seconds)
{
    const auto large = world.serving_groups("large");
    const auto small = world.serving_groups("small");
    ASSERT_GE(large, 2U);
    ASSERT_GE(small, 4U);

    world.work["large"] = static_cast<int>(large) * 26;
    world.run(seconds{10});
    EXPECT_GT(world.serving_groups("large"), large) << "weights from the store would take longer";
    EXPECT_LT(world.serving_groups("small"), small);
    EXPECT_EQ(join_lines(world.violations()), "");
}

TEST_F(a_fleet_whose_work_changes, converts_nothing_while_both_models_have_room)
{
    world.run(seconds{30});
    EXPECT_EQ(world.groups_converted(), 0U);
}

TEST_F(a_fleet_whose_work_changes, settles_and_goes_back_when_the_work_does)
{
    world.work["large"] = 100;
    world.run(seconds{60});
    const auto after_change = world.groups_converted();
    EXPECT_GE(after_change, 1U);
    world.run(seconds{60});
    EXPECT_EQ(world.groups_converted(), after_change) << "unchanged work converts nothing more";

    world.work = {{"large", 20}, {"small", 120}};
    world.run(seconds{60});
    const auto after_return = world.groups_converted();
    EXPECT_GT(after_return, after_change);
    EXPECT_LE(after_return - after_change, 12U) << "at most once per group";
    EXPECT_EQ(join_lines(world.violations()), "");
}

TEST_F(a_fleet_whose_work_changes, serves_on_when_the_work_turns_half_way)
{
    for (int n = 0; n < 6; ++n) {
        world.work = n % 2 == 0 ? std::map<std::string, int>{{"large", 120}, {"small", 20}}
                                : std::map<std::string, int>{{"large", 20}, {"small", 120}};
        world.run(seconds{4});
        EXPECT_GE(world.serving_groups("large"), 2U) << "one in each failure domain";
        EXPECT_GE(world.serving_groups("small"), 2U);
    }
    EXPECT_EQ(join_lines(world.violations()), "");
}

TEST_F(a_fleet_whose_work_changes, loses_nothing_when_the_leader_changes_half_way)
{
    const auto large = world.serving_groups("large");
    world.work["large"] = 120;
    run_until_converting();
    world.change_leader();
    world.run(seconds{15});
    EXPECT_GT(world.serving_groups("large"), large);
    EXPECT_EQ(join_lines(world.violations()), "");
}

TEST_F(a_fleet_whose_work_changes, uses_the_others_when_a_runner_under_conversion_dies)
{
    const auto all_groups = world.serving_groups("large") + world.serving_groups("small");
    world.work["large"] = 120;
    const auto before = world.alive_runners();
    run_until_converting();
    // Any runner that is in no group now is under conversion.
    for (const auto& runner : before) {
        if (world.group_of(runner).empty()) {
            world.kill(runner);
            break;
        }
    }
    world.kill(world.members_of_some_group("small").back());
    world.run(seconds{20});
    EXPECT_GE(world.serving_groups("large") + world.serving_groups("small"), all_groups - 3);
    EXPECT_EQ(join_lines(world.violations()), "");
}

TEST_F(a_fleet_whose_work_changes, keeps_the_rules_when_a_cut_comes_in_between)
{
    world.work["large"] = 120;
    run_until_converting();
    const auto runners = world.alive_runners();
    for (std::size_t n = 0; n < runners.size() / 2; ++n) {
        world.set_unreachable(runners[n], true);
    }
    world.run(seconds{6});
    EXPECT_EQ(join_lines(world.violations()), "");
    for (std::size_t n = 0; n < runners.size() / 2; ++n) {
        world.set_unreachable(runners[n], false);
    }
    world.run(seconds{15});
    EXPECT_GE(world.serving_groups("large"), 3U);
    EXPECT_GE(world.serving_groups("small"), 2U);
    EXPECT_EQ(join_lines(world.violations()), "");
}

} // namespace
} // namespace cedarpoint

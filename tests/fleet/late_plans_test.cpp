// Random plans in which most orders get no answer and are carried out 2 to 12 s later, while
// members leave, restart and are cut off, and leaders change. Manual run:
//     PLANS_FIRST=1 PLANS_COUNT=2000 build/cedarpoint_tests
//     --gtest_filter='seeds/late_plans*:seeds/unheard*'

#include "fleet/planner_world.h"
#include "support/environment.h"

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::number_from_environment;
using testing_support::planner_world;

class late_plans : public testing::TestWithParam<std::uint64_t> {
protected:
    explicit late_plans(bool check_conditions = false)
        : world{{.seed = GetParam(),
                 .late_order_fraction = 0.6,
                 .check_fences = false,
                 .check_conditions = check_conditions}}
    {
        world.add_runners("a-0", 9);
        world.add_runners("b-0", 9);
    }
    void play_round(int round)
    {
        const auto runners = world.alive_runners();
        const auto& chosen = runners[random() % runners.size()];
        switch (random() % 7) {
        case 0:
            world.drain(chosen);
            world.add_runners("a-0", 1);
            break;
        case 1:
            world.restart(chosen, draw_heartbeat_delay());
            break;
        case 2:
            world.kill(chosen);
            world.add_runners("b-0", 1);
            break;
        case 3:
            world.set_unreachable(chosen, true);
            cut_off.push_back(chosen);
            break;
        case 4:
            restore_all();
            break;
        case 5:
            world.in_flight = static_cast<int>(random() % 30);
            break;
        default:
            break;
        }
        if (round % 10 == 9) {
            world.change_leader(); // five leaders after the first
        }
        world.run(milliseconds{200 + random() % 1500});
    }
    /// Returns the delay of the first heartbeat of a runner that restarts.
    virtual duration draw_heartbeat_delay() { return {}; }
    void play_all_rounds()
    {
        world.run(seconds{10});
        for (int round = 0; round < 50; ++round) {
            play_round(round);
            ASSERT_EQ(join_lines(world.violations()), "") << "round " << round;
        }
        restore_all();
        world.in_flight = 4;
        world.set_late_order_fraction(0);
        world.run(seconds{40});
        EXPECT_EQ(join_lines(world.violations()), "");
        EXPECT_GE(world.serving_groups("large") + world.serving_groups("small"), 2U)
            << world.plan();
    }
    void restore_all()
    {
        for (const auto& each : cut_off) {
            world.set_unreachable(each, false);
        }
        cut_off.clear();
    }

    std::mt19937_64 random{GetParam() * 104'729};
    planner_world world;
    std::vector<runner_id> cut_off;
};

/// The same with restarts that are heard late, at engines that check conditions.
class unheard_restarts : public late_plans {
protected:
    unheard_restarts() : late_plans{true} {}
    duration draw_heartbeat_delay() override { return milliseconds{delays() % 3000}; }

    std::mt19937_64 delays{GetParam()}; ///< apart, so that both play the same rounds
};

// Guards against a late order that puts a runner into two groups at once, or opens a group that is
// not whole.
TEST_P(late_plans, keep_the_rules_and_serve_once_orders_are_answered)
{
    play_all_rounds();
}

// Guards against an order to join that reaches a runner which has restarted unheard and is back in
// its earlier group by a late order.
TEST_P(unheard_restarts, keep_the_rules_and_serve_once_orders_are_answered)
{
    play_all_rounds();
}

const auto seeds = testing::Range(number_from_environment("PLANS_FIRST", 1),
                                  number_from_environment("PLANS_FIRST", 1) +
                                      number_from_environment("PLANS_COUNT", 40));
INSTANTIATE_TEST_SUITE_P(seeds, late_plans, seeds);
INSTANTIATE_TEST_SUITE_P(seeds, unheard_restarts, seeds);

} // namespace
} // namespace cedarpoint

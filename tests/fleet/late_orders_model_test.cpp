// Every sequence of few events around one group of a head and a member whose orders are partly
// carried out late. The rules are checked throughout. Manual run:
//     MODEL_EVENTS=5 build/cedarpoint_tests --gtest_filter='*every_sequence*'

#include "fleet/planner_world.h"
#include "support/environment.h"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::join_lines;
using testing_support::number_from_environment;
using testing_support::planner_world;

constexpr auto one_model_document =
    R"({"version":1,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/",
    "kind":"streaming","timeoutMs":5000,"service":"pool"}],"services":[{"name":"pool",
    "engine":{"slots":26,"loadsPerS":4.5,"loads_at_once":6,"formMs":300,"models":[
    {"name":"large","size":2,"share":1.0,"loadS":16,"warmS":1.6}]}}]})";

const runner_id head{"i-001"};
const runner_id member{"i-002"};

/// One fleet of three runners. Of the orders of each kind to each runner, every other one is held.
class model {
public:
    explicit model(bool check_fences)
        : world{{.check_fences = check_fences, .document = one_model_document}}
    {
        world.is_held = [this](const group_order& order) {
            return order.kind != order_kind::leave && ++orders_[{order.to, order.kind}] % 2 == 1;
        };
        world.add_runners("a-0", 3);
        world.run(seconds{6});
    }
    void wait() { world.run(milliseconds{900}); }
    void carry_out_oldest() { world.carry_out_held(0); }
    void carry_out_newest()
    {
        if (!world.held().empty()) {
            world.carry_out_held(world.held().size() - 1);
        }
    }
    void cut_head() { world.set_unreachable(head, true); }
    void restore_head() { world.set_unreachable(head, false); }
    void restart_head() { world.restart(head); }
    void restart_member() { world.restart(member); }
    void change_leader() { world.change_leader(); }

    planner_world world;

private:
    std::map<std::tuple<runner_id, order_kind>, int> orders_;
};

using event = void (model::*)();
constexpr std::array<event, 8> events{
    &model::wait,           &model::carry_out_oldest, &model::carry_out_newest,
    &model::cut_head,       &model::restore_head,     &model::restart_head,
    &model::restart_member, &model::change_leader};

class a_group_of_two : public testing::TestWithParam<bool> {};

// Guards against an order in which late orders and failures put a runner into two groups at once.
TEST_P(a_group_of_two, keeps_the_rules_in_every_sequence_of_few_events)
{
    const auto length = number_from_environment("MODEL_EVENTS", 4);
    std::size_t sequences = 1;
    for (std::uint64_t n = 0; n < length; ++n) {
        sequences *= events.size();
    }
    for (std::size_t number = 0; number < sequences; ++number) {
        model it{GetParam()};
        std::string played;
        auto rest = number;
        for (std::uint64_t n = 0; n < length; ++n) {
            const auto next = rest % events.size();
            rest /= events.size();
            (it.*events.at(next))();
            it.world.run(milliseconds{260});
            played += " " + std::to_string(next);
        }
        it.world.run(seconds{3});
        ASSERT_EQ(join_lines(it.world.violations()), "") << "events" << played;
    }
}

INSTANTIATE_TEST_SUITE_P(fences, a_group_of_two, testing::Bool());

} // namespace
} // namespace cedarpoint

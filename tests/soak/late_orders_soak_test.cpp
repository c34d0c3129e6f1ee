// Seeded plays of a fleet of processes in which one runner leaves orders of its first group, and
// the first orders to join the next one, without an answer. They are carried out late, as they came
// or in a drawn order, after the group has lost another member and the leader was killed, stopped
// or left alone. Manual run:
//     LATE_FIRST=1 LATE_COUNT=50 build/cedarpoint_tests --gtest_filter='seeds/late_orders*'

#include "daemon/site.h"
#include "fleet/platform_runner.h"
#include "io/clock.h"
#include "support/environment.h"
#include "support/fleet_processes.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::number_from_environment;
using testing_support::pass_time;
using testing_support::platform_runner;

constexpr int runner_count = 4;
constexpr duration first_group_limit = seconds{15};
constexpr duration next_join_limit = seconds{12};
/// Service is back this long after the last order was carried out.
constexpr duration recovery_limit = seconds{20};

bool holds_within(duration limit, const std::function<bool()>& done)
{
    for (const auto end = steady_now() + limit; !done() && steady_now() < end;) {
        pass_time(milliseconds{20});
    }
    return done();
}

std::string make_document(int group_size)
{
    return fmt::format(R"({{"version":1,"routes":[{{"name":"r","host":"h.example",
        "pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"service":"pool"}}],
        "services":[{{"name":"pool","engine":{{"slots":4,"loadsPerS":100,"loads_at_once":50,
        "formMs":300,"models":[{{"name":"small","size":{},"share":1,"loadS":0.5,
        "warmS":0.1}}]}}}}]}})",
                       group_size);
}

class late_orders : public testing::TestWithParam<std::uint64_t> {
protected:
    enum class disturbance { none, kill_leader, stop_leader, count };
    enum class loss { drain, cut, crash, count };

    late_orders()
    {
        fleet.start_all();
        for (int n = 0; n < runner_count; ++n) {
            auto& it = *runners.emplace_back(std::make_unique<platform_runner>(
                fmt::format("i-{}", n), "pool", fleet.controls(), n + 1));
            it.join_time = milliseconds{200};
            it.open_time = milliseconds{300};
            it.on_joining = [this, &it](const std::string& next) { check_join(it, next); };
        }
    }
    int pick(int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); }
    template <class Kind>
    Kind pick_kind()
    {
        return static_cast<Kind>(pick(static_cast<int>(Kind::count)));
    }
    /// Records a runner that joins another group while the head of its own is open.
    void check_join(const platform_runner& runner, const std::string& next)
    {
        const auto& group = runner.group();
        const bool is_open = std::any_of(runners.begin(), runners.end(), [&](const auto& each) {
            return each->is_open() && each->group() == group;
        });
        if (!group.empty() && group != next && is_open) {
            violations += fmt::format("{} joined {} while {} was open; ", runner.id(), next, group);
        }
    }
    /// Makes the runner leave the first orders of some kinds without an answer.
    void hold_orders(platform_runner& runner)
    {
        for (const auto* op : {"join", "open", "leave"}) {
            to_hold[op] = pick(4);
        }
        next_joins_to_hold = 1 + pick(2);
        runner.hold_order = [this](const std::string& body) {
            const auto order = nlohmann::json::parse(body);
            const auto op = order.at("op").get<std::string>();
            const auto group = order.value("group", "");
            if (op == "join" && first_group.empty()) {
                first_group = group;
            }
            auto& left = op == "join" && group != first_group ? next_joins_to_hold : to_hold[op];
            if (left == 0) {
                return false;
            }
            --left;
            held.push_back(body);
            return true;
        };
    }
    bool is_any_open() const
    {
        return std::any_of(runners.begin(), runners.end(),
                           [](const auto& each) { return each->is_open(); });
    }
    bool is_any_open_within(duration limit)
    {
        return holds_within(limit, [this] { return is_any_open(); });
    }
    void lose_member(platform_runner& runner)
    {
        switch (pick_kind<loss>()) {
        case loss::drain:
            runner.drain();
            break;
        case loss::cut:
            runner.fall_silent(seconds{30});
            break;
        default:
            runner.crash();
            break;
        }
    }
    void disturb_leader()
    {
        const auto leader = fleet.leader();
        const auto kind = pick_kind<disturbance>();
        if (!leader || kind == disturbance::none) {
            return;
        }
        if (kind == disturbance::kill_leader) {
            fleet.end(*leader);
            fleet.start(*leader, false);
            return;
        }
        fleet.at(*leader).signal(SIGSTOP);
        pass_time(seconds{2});
        fleet.at(*leader).signal(SIGCONT);
    }
    /// Restarts the runner so that no daemon hears of it before the held orders.
    static void restart_unheard(platform_runner& runner)
    {
        runner.restart_delay = milliseconds{0};
        runner.crash();
        pass_time(milliseconds{50});
        runner.set_heartbeats_stopped(true);
    }
    void carry_out_held(platform_runner& runner)
    {
        auto orders = std::exchange(held, {});
        if (pick(2) == 0) {
            std::shuffle(orders.begin(), orders.end(), random);
        }
        for (const auto& order : orders) {
            runner.carry_out(order);
            pass_time(milliseconds{pick(500)});
        }
    }

    std::mt19937_64 random{GetParam() * 7919};
    fleet_processes fleet{{.net = 60 + static_cast<int>(GetParam() % 4),
                           .entry_daemons = 1,
                           .log_name = fmt::format("late-orders-{}", GetParam())}};
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::map<std::string, int> to_hold; ///< orders of the first group, by kind
    int next_joins_to_hold = 0;
    std::string first_group;
    std::vector<std::string> held;
    std::string violations;
};

// Guards against late orders that put a runner back into its earlier group while it joins another.
TEST_P(late_orders, put_no_runner_into_two_groups)
{
    const int group_size = 2 + pick(2);
    auto& chosen = *runners[static_cast<std::size_t>(pick(2))];
    hold_orders(chosen);
    ASSERT_TRUE(fleet.put(make_document(group_size)));
    ASSERT_TRUE(is_any_open_within(first_group_limit)) << fleet.describe_controls();
    pass_time(milliseconds{500 + pick(1500)});

    const auto before = first_group;
    const auto lost = std::find_if(runners.begin(), runners.end(), [&](const auto& each) {
        return each.get() != &chosen && each->group() == before;
    });
    lose_member(lost == runners.end() ? *runners.back() : **lost);
    const bool reached_next =
        holds_within(next_join_limit, [&] { return next_joins_to_hold == 0; });
    RecordProperty("reached_next_join", reached_next ? 1 : 0);
    if (pick(2) == 0) {
        restart_unheard(chosen);
    }
    disturb_leader();
    carry_out_held(chosen);
    pass_time(seconds{3});
    chosen.hold_order = {};
    chosen.set_heartbeats_stopped(false);
    EXPECT_EQ(violations, "");
    EXPECT_TRUE(is_any_open_within(recovery_limit)) << fleet.describe_controls();
    EXPECT_EQ(violations, "");
}

INSTANTIATE_TEST_SUITE_P(seeds, late_orders,
                         testing::Range(number_from_environment("LATE_FIRST", 1),
                                        number_from_environment("LATE_FIRST", 1) +
                                            number_from_environment("LATE_COUNT", 3)),
                         testing::PrintToStringParamName());

} // namespace
} // namespace cedarpoint

// Seeded soak of a fleet of processes whose control daemons are replaced in series while entry
// daemons stand still, restart, and everything loses power, also together with the disk of one
// control daemon. Each change adds a route, which shows at each entry daemon which version it has
// in force. Manual run:
//     REPLACED_FIRST=100 REPLACED_COUNT=50 build/cedarpoint_tests
//     --gtest_filter='*replaced_controls*'

#include "cedarpoint/core/http_status.h"
#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/versioned_routes.h"
#include "io/clock.h"
#include "support/environment.h"
#include "support/fleet_processes.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::fleet_processes;
using testing_support::has_in_force;
using testing_support::make_versioned_document;
using testing_support::number_from_environment;
using testing_support::pass_time;
using testing_support::status_by_version;
using testing_support::wait_until;

constexpr int control_count = fleet_processes::control_count;
constexpr int entry_count = 3;
constexpr int rounds = 12;
/// A daemon counts as connected after this time without a fault.
constexpr duration contact_time = seconds{3};
/// An acknowledged change is in force at all connected entry daemons after this time.
constexpr duration apply_time = seconds{2};
constexpr duration catch_up_time = fleet_processes::catch_up_time;
/// Longest time from the end of all faults until the newest version is in force everywhere.
constexpr duration max_recovery_time = seconds{12};

class a_fleet_with_replaced_controls : public testing::TestWithParam<std::uint64_t> {
protected:
    struct acknowledgement {
        int version = 0;
        instant at;
    };
    struct entry_state {
        instant started;
        instant disturbed; ///< when the latest fault of its own began or ended
        int seen = 0;      ///< the latest version that this process has shown
        bool stopped = false;
    };

    void SetUp() override
    {
        fleet.start_all();
        entries.assign(entry_count, {steady_now(), steady_now()});
        core_disturbed = steady_now();
        change();
    }

    int pick(int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); }

    void change()
    {
        const int version = ++sent_version;
        ASSERT_TRUE(fleet.put(make_versioned_document(version))) << history;
        acknowledged.push_back({version, steady_now()});
    }
    void note(const std::string& what) { history += what + "; "; }

    void replace_one()
    {
        const int control = next_replaced++ % control_count;
        note(fmt::format("replace {}", control));
        fleet.replace_control(control);
        core_disturbed = steady_now();
        ASSERT_TRUE(wait_until([&] {
            observe();
            return fleet.has_replaced(control) || HasFailure();
        })) << history
            << fleet.describe_controls();
    }
    void stop_or_continue()
    {
        const int entry = pick(entry_count);
        auto& state = entries.at(static_cast<std::size_t>(entry));
        note(fmt::format("{} entry {}", state.stopped ? "continue" : "stop", entry));
        fleet.at(control_count + entry).signal(state.stopped ? SIGCONT : SIGSTOP);
        state.stopped = !state.stopped;
        state.disturbed = steady_now();
    }
    void kill(int index) { fleet.at(index).signal(SIGKILL); }
    void start(int index)
    {
        fleet.start(index, false);
        if (index >= control_count) {
            entries.at(static_cast<std::size_t>(index - control_count)) = {steady_now(),
                                                                           steady_now()};
        }
        else {
            core_disturbed = steady_now();
        }
    }
    void restart_entry()
    {
        const int entry = pick(entry_count);
        note(fmt::format("restart entry {}", entry));
        kill(control_count + entry);
        start(control_count + entry);
    }
    void restart_controls()
    {
        note("kill controls");
        for (int control = 0; control < control_count; ++control) {
            kill(control);
            pass_time(milliseconds{pick(2) * pick(80)});
        }
        for (int control = 0; control < control_count; ++control) {
            start(control);
        }
    }
    /// Ends all processes and starts them again; one control daemon may have lost its disk.
    void lose_power()
    {
        const bool loses_disk = pick(2) == 0;
        if (loses_disk) {
            watch(core_disturbed + catch_up_time - steady_now());
        }
        const int lost = next_replaced % control_count; // its disk has lasted longest
        note(loses_disk ? fmt::format("power, disk of {}", lost) : "power");
        for (int index = 0; index < fleet.count(); ++index) {
            kill(index);
        }
        pass_time(milliseconds{pick(1000)});
        for (int index = 0; index < fleet.count(); ++index) {
            fleet.end(index);
            if (loses_disk && index == lost) {
                fleet.lose_disk(index);
            }
            start(index);
        }
        if (loses_disk) {
            ASSERT_TRUE(wait_until([&] {
                observe();
                return fleet.leader().has_value() || HasFailure();
            })) << history
                << fleet.describe_controls();
            watch(catch_up_time);
        }
    }

    /// Reads at each control daemon: an answer is never older than what was acknowledged before.
    void read_controls()
    {
        const int newest = acknowledged.back().version;
        for (const auto& control : fleet.controls()) {
            const auto answer = call(control, "GET", "/cedarpoint/config/get", "", "");
            if (answer.head.status == http_status::ok) {
                EXPECT_GE(nlohmann::json::parse(answer.body).at("version").get<int>(), newest)
                    << history;
            }
        }
    }
    /// Returns the latest version that this entry daemon must have in force; 0 if none.
    [[nodiscard]] int due_version(instant now, const entry_state& state) const
    {
        int out = 0;
        for (const auto& each : acknowledged) {
            const bool applies = now - each.at > apply_time;
            const bool connected =
                now - std::max(state.disturbed, core_disturbed) > contact_time + apply_time;
            // A process that started later can know an older version only from somebody's memory.
            if (applies && (connected || state.started > each.at)) {
                out = std::max(out, each.version);
            }
        }
        return out;
    }
    void observe()
    {
        const auto addresses = fleet.entries();
        for (int entry = 0; entry < entry_count; ++entry) {
            auto& state = entries.at(static_cast<std::size_t>(entry));
            if (state.stopped) {
                continue;
            }
            const auto& at = addresses.at(static_cast<std::size_t>(entry));
            const int due = std::max(due_version(steady_now(), state), state.seen);
            if (due > 0) {
                EXPECT_NE(status_by_version(at, due), http_status::not_found)
                    << "entry " << entry << " version " << due << " seen " << state.seen << ": "
                    << history;
            }
            if (has_in_force(at, acknowledged.back().version)) {
                state.seen = acknowledged.back().version;
            }
        }
        read_controls();
    }
    void watch(duration time)
    {
        for (const auto end = steady_now() + time; steady_now() < end && !HasFailure();) {
            observe();
            pass_time(milliseconds{20});
        }
    }
    void play_round()
    {
        using action = void (a_fleet_with_replaced_controls::*)();
        constexpr std::array<action, 8> actions{&a_fleet_with_replaced_controls::replace_one,
                                                &a_fleet_with_replaced_controls::replace_one,
                                                &a_fleet_with_replaced_controls::replace_one,
                                                &a_fleet_with_replaced_controls::stop_or_continue,
                                                &a_fleet_with_replaced_controls::stop_or_continue,
                                                &a_fleet_with_replaced_controls::restart_entry,
                                                &a_fleet_with_replaced_controls::restart_controls,
                                                &a_fleet_with_replaced_controls::lose_power};
        (this->*actions.at(static_cast<std::size_t>(pick(static_cast<int>(actions.size())))))();
        if (pick(3) > 0) {
            note("change");
            change();
        }
        watch(milliseconds{pick(4000)});
    }
    void end_faults()
    {
        for (int entry = 0; entry < entry_count; ++entry) {
            auto& state = entries.at(static_cast<std::size_t>(entry));
            if (std::exchange(state.stopped, false)) {
                state.disturbed = steady_now();
                fleet.at(control_count + entry).signal(SIGCONT);
            }
        }
    }

    std::mt19937_64 random{GetParam()};
    fleet_processes fleet{{.net = 242 + static_cast<int>(GetParam() % 4),
                           .entry_daemons = entry_count,
                           .log_name = fmt::format("replaced-soak-{}", GetParam())}};
    std::vector<acknowledgement> acknowledged;
    std::vector<entry_state> entries;
    instant core_disturbed;
    int sent_version = 0;
    int next_replaced = 0;
    std::string history;
};

std::vector<std::uint64_t> seeds()
{
    std::vector<std::uint64_t> out(number_from_environment("REPLACED_COUNT", 1));
    std::iota(out.begin(), out.end(), number_from_environment("REPLACED_FIRST", 1));
    return out;
}

// Guards against combinations of faults, around replaced control daemons, that no script names.
TEST_P(a_fleet_with_replaced_controls, shows_every_acknowledged_change)
{
    for (int round = 0; round < rounds && !HasFailure(); ++round) {
        play_round();
    }
    ASSERT_FALSE(HasFailure()) << "seed " << GetParam() << ": " << history;
    end_faults();
    change();
    const auto ended = steady_now();
    for (const auto& entry : fleet.entries()) {
        ASSERT_TRUE(wait_until([&] { return has_in_force(entry, sent_version); }))
            << "seed " << GetParam() << ": " << history << fleet.describe_controls();
    }
    EXPECT_LT(steady_now() - ended, max_recovery_time) << "seed " << GetParam() << ": " << history;
    read_controls();
}

INSTANTIATE_TEST_SUITE_P(seeds, a_fleet_with_replaced_controls, testing::ValuesIn(seeds()));

} // namespace
} // namespace cedarpoint

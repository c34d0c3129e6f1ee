// Kills and restarts all control daemons repeatedly, behind proxies and with entry daemons that
// follow them. Manual run:
//     RESTARTS=200 build/cedarpoint_tests --gtest_filter='*control_daemons_that_restart*'

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "soak/loopback_proxy.h"
#include "support/environment.h"
#include "support/fleet_processes.h"

#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>
#include <string_view>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::loopback_proxy;
using testing_support::number_from_environment;
using testing_support::pass_time;
using testing_support::wait_until;

/// Longest time from the start of all control daemons until one leads.
constexpr duration max_recovery_time = seconds{12};

const std::string document = R"({"version":1,
    "routes":[{"name":"r","host":"h.example","pathPrefix":"/a/","kind":"safe","timeoutMs":2000,
               "service":"shop"}],
    "services":[{"name":"shop"}]})";

struct daemon_variant {
    const char* name;
    const char* preload; ///< a library for LD_PRELOAD of each daemon
    int net;             ///< unique per test, since tests run in parallel
};

class control_daemons_that_restart : public testing::TestWithParam<daemon_variant> {
protected:
    void SetUp() override
    {
        for (int control = 0; control < fleet_processes::control_count; ++control) {
            proxies.push_back(std::make_unique<loopback_proxy>(fleet.mesh_address(control),
                                                               fleet.bind_address(control)));
        }
        fleet.start_all();
        ASSERT_TRUE(wait_until([&] { return fleet.put(document); }));
    }

    fleet_processes fleet{
        {GetParam().net, 2, fmt::format("restarts-{}", GetParam().name), true, GetParam().preload}};
    std::vector<std::unique_ptr<loopback_proxy>> proxies;
};

// Guards against a fleet that stays without a leader after all control daemons failed at once.
TEST_P(control_daemons_that_restart, have_a_leader_soon_each_time)
{
    std::mt19937_64 random{number_from_environment("RESTART_SEED", 1)};
    for (std::uint64_t round = 0; round < number_from_environment("RESTARTS", 4); ++round) {
        for (int control = 0; control < fleet_processes::control_count; ++control) {
            fleet.at(control).signal(SIGKILL);
            pass_time(milliseconds{random() % 3 * (random() % 60)});
        }
        for (int control = 0; control < fleet_processes::control_count; ++control) {
            fleet.start(control, false);
            pass_time(milliseconds{random() % 3 * (random() % 200)});
        }
        const auto start = steady_now();
        ASSERT_TRUE(wait_until([&] { return fleet.leader().has_value(); }))
            << "round " << round << fleet.describe_controls();
        ASSERT_LT(steady_now() - start, max_recovery_time)
            << "round " << round << fleet.describe_controls();
        // The next kill comes at a random time after the election.
        pass_time(milliseconds{random() % 2 * (random() % 1500)});
    }
}

INSTANTIATE_TEST_SUITE_P(
    kinds, control_daemons_that_restart,
    testing::Values(daemon_variant{"steady", "", 229},
                    daemon_variant{"suspended_clock", BINARY_DIR "/libsuspended_clock.so", 230},
                    daemon_variant{"slow_disk", BINARY_DIR "/libslow_disk.so", 231}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cedarpoint

// Guards against refusing requests when a load balancer hands most new connections to one entry
// daemon, then to another, while the others keep the connections that they have.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;

constexpr int runner_count = 14;

/// Requests per second on kept connections, spread over all daemons, and on new ones.
constexpr double kept_rate = 60;
constexpr double new_rate = 100;

/// From this time after a change of the crowded daemon, requests are served at the first attempt
/// that a daemon has read at least this often, compared with the time before.
constexpr duration contact_time = seconds{3};
constexpr double min_ratio = 0.75;

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":2}],
    "services":[{"name":"shop"}]})";

struct crowd_case {
    std::string name;
    int net = 0;
    std::string rate_limit; ///< that each runner names; empty: none
};

// GoogleTest looks up this function by its name.
void PrintTo( // NOLINT(readability-identifier-naming)
    const crowd_case& in, std::ostream* out)
{
    *out << in.name;
}

class a_daemon_that_gets_most_new_connections : public testing::TestWithParam<crowd_case> {
protected:
    void SetUp() override
    {
        fleet.start_all();
        for (int n = 0; n < runner_count; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop",
                                                                fleet.controls(), 1000U));
            runners.back()->answer_time = milliseconds{20};
            runners.back()->slots = 16;
            runners.back()->rate_limit = GetParam().rate_limit;
        }
        ASSERT_TRUE(fleet.put(document));
        ASSERT_TRUE(fleet.wait_serving("/safe/x"));
        kept = start(fleet.entries(), kept_rate, "kept", false);
    }

    static std::unique_ptr<open_loop_callers> start(const std::vector<endpoint>& entries,
                                                    double per_second, const std::string& name,
                                                    bool on_new_connection)
    {
        return std::make_unique<open_loop_callers>(
            entries, per_second, name, [name, on_new_connection](std::size_t n) {
                open_loop_callers::request out{"POST", "/safe/x", fmt::format("{} {}", name, n)};
                out.on_new_connection = on_new_connection;
                return out;
            });
    }

    /// Returns the share of all requests of the callers that are served.
    [[nodiscard]] double served_share(const open_loop_callers& fresh, instant from) const
    {
        double total = 0;
        double served = 0;
        for (const open_loop_callers* callers : {&std::as_const(*kept), &fresh}) {
            for (const auto& it : callers->results) {
                total += it.sent >= from ? 1 : 0;
                served += it.sent >= from && it.status == 200 ? 1 : 0;
            }
        }
        return total == 0 ? 0 : served / total;
    }

    fleet_processes fleet{{.net = GetParam().net,
                           .entry_daemons = 8,
                           .log_name = fmt::format("crowd-{}", GetParam().net)}};
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::unique_ptr<open_loop_callers> kept;
};

TEST_P(a_daemon_that_gets_most_new_connections, serves_them_as_the_others_did)
{
    const auto spread = start(fleet.entries(), new_rate, "spread", true);
    pass_time(seconds{2});
    const auto calm_from = steady_now();
    pass_time(seconds{4});
    const double calm = served_share(*spread, calm_from);
    EXPECT_GT(calm, 0.95);
    spread->stop();
    for (const std::size_t crowded : {0U, 5U}) {
        const auto began = steady_now();
        const auto crowd = start({fleet.entries()[crowded]}, new_rate * 0.85,
                                 fmt::format("crowd{}x", crowded), true);
        const auto rest =
            start(fleet.entries(), new_rate * 0.15, fmt::format("rest{}x", crowded), true);
        pass_time(seconds{8});
        const double share = served_share(*crowd, began + contact_time);
        fmt::print("served {:.3f} before, {:.3f} with most new connections at daemon {}\n", calm,
                   share, crowded);
        EXPECT_GE(share, calm * min_ratio);
        pass_time(seconds{1});
    }
}

INSTANTIATE_TEST_SUITE_P(cases, a_daemon_that_gets_most_new_connections,
                         testing::Values(crowd_case{.name = "unlimited", .net = 46},
                                         // In all 1.75 times what the callers ask for.
                                         crowd_case{.name = "at_runners_with_rate_limits",
                                                    .net = 47,
                                                    .rate_limit = "20"}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cedarpoint

// Streams of real processes around changes of the configuration: which are cut, and by what.
// STREAMS_PER_SECOND sets the load of a manual run.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/platform_runner.h"
#include "io/clock.h"
#include "support/environment.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <csignal>
#include <cstdio>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::number_from_environment;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;
using testing_support::wait_until;

constexpr int entry_count = 4;
constexpr int runner_count = 9;
/// Number of routes that only make the configuration large.
constexpr int added_routes = 350;
/// From the end of a process to the time when its callers have noticed.
constexpr duration notice_time = milliseconds{300};

std::string document(int version)
{
    std::string routes;
    for (int n = 0; n < added_routes; ++n) {
        routes += fmt::format(R"({{"name":"r{0}","host":"h.example","pathPrefix":"/r{0}/{1}/",
                                  "kind":"safe","timeoutMs":2000,"service":"pool",
                                  "maxAttempts":1}},)",
                              n, version);
    }
    return fmt::format(R"({{"version":{},
        "routes":[{}{{"name":"stream","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
                    "timeoutMs":5000,"service":"pool","maxAttempts":2,"resumable":true,
                    "targetLatencyMs":300,"targetGapMs":300,"public":true}}],
        "services":[{{"name":"pool","engine":{{"slots":200,"loadsPerS":100,"loads_at_once":50,
                      "formMs":10,"models":[{{"name":"small","size":3,"share":1,"loadS":0.5,
                      "warmS":0.1}}]}}}}]}})",
                       version, routes);
}

class streams_of_a_fleet : public testing::Test {
protected:
    /// `net`: see fleet_processes::options.
    streams_of_a_fleet(int net, const std::string& log_name)
        : fleet{{.net = net, .entry_daemons = entry_count, .log_name = log_name}}
    {
        fleet.start_all();
        for (int n = 0; n < runner_count; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("i-{}", n), "pool",
                                                                fleet.controls()));
            runners.back()->slots = 200;
            runners.back()->event_gap = milliseconds{500};
        }
        EXPECT_TRUE(put_next());
        EXPECT_TRUE(wait_until([&] {
            return std::count_if(runners.begin(), runners.end(), [](const auto& each) {
                       return each->is_open();
                   }) == runner_count / 3;
        }));
        pass_time(seconds{1});
        callers = std::make_unique<open_loop_callers>(
            fleet.entries(), static_cast<double>(number_from_environment("STREAMS_PER_SECOND", 80)),
            "s", [](std::size_t) {
                open_loop_callers::request out;
                out.method = "POST";
                out.target = "/ask/x";
                out.model = "small";
                out.body = "why";
                return out;
            });
        pass_time(seconds{4});
    }
    bool put_next() { return fleet.put(document(++version)); }
    void put_invalid() const
    {
        if (const auto leader = fleet.leader()) {
            const auto answer = testing_support::call(fleet.controls().at(*leader), "POST",
                                                      "/cedarpoint/config/put", "", "{}");
            EXPECT_NE(answer.head.status, 200);
        }
    }
    /// Returns the streams that began before `until` and have no complete answer.
    [[nodiscard]] std::vector<open_loop_callers::result> cut_before(instant until) const
    {
        std::vector<open_loop_callers::result> out;
        std::copy_if(callers->results.begin(), callers->results.end(), std::back_inserter(out),
                     [&](const auto& it) { return it.status == 0 && it.sent < until; });
        return out;
    }

    fleet_processes fleet;
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::unique_ptr<open_loop_callers> callers;
    int version = 0;
};

class streams_around_changes : public streams_of_a_fleet {
protected:
    streams_around_changes() : streams_of_a_fleet{48, "streams-changes"} {}
};

class streams_at_the_end_of_all_processes : public streams_of_a_fleet {
protected:
    streams_at_the_end_of_all_processes() : streams_of_a_fleet{49, "streams-end"} {}
};

// Guards against a change that cuts streams, alone, in a series, large, repeated or refused, and
// while control daemons are killed.
TEST_F(streams_around_changes, are_cut_by_no_change)
{
    const auto begin = steady_now();
    for (int n = 0; n < 8; ++n) {
        EXPECT_TRUE(put_next());
        if (n % 3 == 0) {
            (void)fleet.put(document(version)); // again
            put_invalid();
        }
        if (n % 4 == 3) {
            for (int control = 0; control < fleet_processes::control_count; ++control) {
                fleet.at(control).signal(SIGKILL);
            }
            for (int control = 0; control < fleet_processes::control_count; ++control) {
                fleet.start(control, false);
            }
        }
        pass_time(milliseconds{400});
    }
    callers->stop();
    pass_time(seconds{4});
    EXPECT_TRUE(cut_before(steady_now()).empty()) << cut_before(steady_now()).size();
    const auto served = std::count_if(callers->results.begin(), callers->results.end(),
                                      [](const auto& it) { return it.status == 200; });
    EXPECT_GT(callers->served_share(begin, steady_now()), 0.9);
    std::printf("%td streams served, %zu without a complete answer\n", served,
                cut_before(steady_now()).size());
}

// Shows what the end of all processes right after an acknowledgement looks like: the streams that
// were in flight are cut at that moment, and no others.
TEST_F(streams_at_the_end_of_all_processes, are_cut_at_that_moment_only)
{
    EXPECT_TRUE(put_next());
    const auto killed = steady_now();
    for (int n = 0; n < fleet.count(); ++n) {
        fleet.at(n).signal(SIGKILL);
    }
    pass_time(notice_time);
    callers->stop();
    const auto in_flight = cut_before(killed).size();
    for (const auto& each : cut_before(killed)) {
        EXPECT_GE(each.ended, killed) << each.id;
        EXPECT_LE(each.ended, killed + notice_time) << each.id;
    }
    EXPECT_GT(in_flight, 0U) << "as many as are in flight at the rate and length of the streams";
    for (int n = 0; n < fleet.count(); ++n) {
        fleet.start(n, false);
    }
    pass_time(seconds{4});
    EXPECT_EQ(cut_before(killed).size(), in_flight) << "all are cut at once";
    std::printf("%zu streams in flight were cut\n", in_flight);
}

} // namespace
} // namespace cedarpoint

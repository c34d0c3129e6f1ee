// Guards against entry daemons that are cut off from all runners refusing their callers although
// other entry daemons reach the runners.
// Larger fleets are run by hand: RUNNER_PATHS_DAEMONS=30.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "runner_paths/cuttable_paths.h"
#include "support/environment.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace cedarpoint {
namespace {

using testing_support::cuttable_paths;
using testing_support::fleet_processes;
using testing_support::number_from_environment;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::path_cut;
using testing_support::platform_runner;
using testing_support::wait_until;

constexpr int failure_domains = 3;
constexpr duration cut_time = seconds{7};
/// Callers are served again from this long after the beginning of a cut.
constexpr duration contact_time = seconds{3};
/// First attempts served at daemons that are cut off, relative to those at the others.
constexpr double min_relative_share = 0.95;
/// First attempts served at the others.
constexpr double min_share_elsewhere = 0.99;

const std::string document = R"({"version":1,
    "routes":[{"name":"stream","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
               "timeoutMs":2000,"service":"pool","maxAttempts":2,"resumable":true,
               "targetLatencyMs":300,"targetGapMs":300},
              {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":2},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":2000,"service":"shop","maxAttempts":2}],
    "services":[{"name":"pool","engine":{"slots":26,"loadsPerS":100,"loads_at_once":50,
                 "formMs":10,"models":[{"name":"small","size":3,"share":1,"loadS":0.5,
                 "warmS":0.1}]}},{"name":"shop"}]})";

/// Which entry daemons are cut off.
enum class cut_part { most, one_domain, one };

struct cut_case {
    const char* name;
    path_cut how;
    cut_part part;
    int net; ///< loopback net of this test, since tests run in parallel
};

// GoogleTest looks up this function by its name.
void PrintTo( // NOLINT(readability-identifier-naming)
    const cut_case& in, std::ostream* out)
{
    *out << in.name;
}

bool is_cut_off(cut_part part, std::size_t entry, std::size_t count)
{
    switch (part) {
    case cut_part::most:
        return entry < count * 5 / 8;
    case cut_part::one_domain:
        return entry % failure_domains == 0;
    default:
        return entry == 0;
    }
}

class entry_daemons_cut_off_from_runners : public testing::TestWithParam<cut_case> {
protected:
    void SetUp() override
    {
        fleet.start_all();
        for (int n = 0; n < 9; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("i-{}", n), "pool",
                                                                fleet.controls()));
        }
        for (int n = 0; n < 3; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop",
                                                                fleet.controls()));
        }
        std::vector<endpoint> addresses;
        for (const auto& runner : runners) {
            runner->answer_time = milliseconds{20};
            runner->slots = 26;
            addresses.push_back(runner->address());
        }
        for (std::size_t entry = 0; entry < fleet.entries().size(); ++entry) {
            paths.push_back(std::make_unique<cuttable_paths>(
                fleet.runner_proxy_ip(static_cast<int>(entry)), addresses));
        }
        ASSERT_TRUE(fleet.put(document));
        ASSERT_TRUE(fleet.wait_serving("/safe/x"));
        ASSERT_TRUE(wait_until([this] { return count_open() == 3; }));
        callers = std::make_unique<open_loop_callers>(fleet.entries(), requests_per_second, "r",
                                                      [](std::size_t n) { return request_of(n); });
        pass_time(seconds{3});
    }

    /// Streams, requests that may be repeated and requests that may run once, on kept and on new
    /// connections.
    static open_loop_callers::request request_of(std::size_t n)
    {
        open_loop_callers::request out;
        constexpr std::array<const char*, 3> targets{"/ask/x", "/safe/x", "/once/x"};
        out.method = "POST";
        out.target = targets.at(n % targets.size());
        out.body = fmt::format("body {}", n);
        out.model = n % targets.size() == 0 ? "small" : "";
        out.on_new_connection = n / targets.size() % 2 == 0;
        return out;
    }

    [[nodiscard]] int count_open() const
    {
        return static_cast<int>(std::count_if(
            runners.begin(), runners.end(), [](const auto& runner) { return runner->is_open(); }));
    }

    /// Cuts off the daemons in `part` for `cut_time`.
    void cut(cut_part part)
    {
        const auto count = fleet.entries().size();
        cut_off.clear();
        for (std::size_t entry = 0; entry < count; ++entry) {
            if (is_cut_off(part, (entry + shift) % count, count)) {
                cut_off.insert(entry);
                paths[entry]->cut(GetParam().how);
            }
        }
        cut_at = steady_now();
    }

    void heal()
    {
        for (const auto entry : cut_off) {
            paths[entry]->heal();
        }
        healed_at = steady_now();
    }

    struct counts {
        int served = 0;
        int sent = 0;
        std::vector<double> latencies_ms; ///< of those served

        /// Returns the latency that 95% of the served requests don't exceed.
        [[nodiscard]] double slow_ms() const
        {
            auto sorted = latencies_ms;
            std::sort(sorted.begin(), sorted.end());
            return sorted.empty() ? 0 : sorted[(sorted.size() - 1) * 95 / 100];
        }
        [[nodiscard]] double share() const
        {
            return sent == 0 ? 0 : static_cast<double>(served) / sent;
        }
    };

    [[nodiscard]] counts count_served(bool at_cut_off, instant from, instant until) const
    {
        counts out;
        for (const auto& it : callers->results) {
            if (cut_off.contains(it.entry) == at_cut_off && it.sent >= from && it.sent < until) {
                ++out.sent;
                out.served += it.status == 200 ? 1 : 0;
                if (it.status == 200) {
                    out.latencies_ms.push_back(
                        std::chrono::duration<double, std::milli>(it.took).count());
                }
            }
        }
        return out;
    }

    void expect_served_as_elsewhere(const char* when) const
    {
        const auto first = count_served(true, cut_at, cut_at + contact_time);
        const auto own = count_served(true, cut_at + contact_time, healed_at);
        const auto others = count_served(false, cut_at + contact_time, healed_at);
        const auto figures = fmt::format(
            "{}: {} of {} in the first 3 s, then {} of {}, 95% within {:.0f} ms, at the others {} "
            "of {}, {:.0f} ms",
            when, first.served, first.sent, own.served, own.sent, own.slow_ms(), others.served,
            others.sent, others.slow_ms());
        fmt::print("{}\n", figures);
        ASSERT_GT(own.sent, 0);
        EXPECT_GE(own.share(), min_relative_share * others.share()) << figures;
        if (cut_off.size() < fleet.entries().size()) {
            EXPECT_GE(others.share(), min_share_elsewhere) << figures;
        }
    }

    /// Checks that no request ran more often than it may, and that what was refused has not run.
    void expect_promises_kept() const
    {
        std::map<std::string, int> runs;
        for (const auto& runner : runners) {
            for (const auto& each : runner->arrivals) {
                ++runs[each.request];
            }
        }
        for (const auto& it : callers->results) {
            if (it.target != "/once/x") {
                continue;
            }
            const auto found = runs.find(it.id);
            const int count = found == runs.end() ? 0 : found->second;
            EXPECT_LE(count, 1) << it.id << " ran more than once";
            if (it.status == 503 || it.status == 429) {
                EXPECT_EQ(count, 0) << it.id << " was refused but ran";
            }
        }
    }

    void play(const char* when)
    {
        cut(GetParam().part);
        pass_time(cut_time);
        heal();
        // The answers to all requests of the cut.
        pass_time(milliseconds{2500});
        expect_served_as_elsewhere(when);
    }

    int entry_daemons = static_cast<int>(number_from_environment("RUNNER_PATHS_DAEMONS", 8));
    double requests_per_second = 7.5 * entry_daemons;
    fleet_processes fleet{{.net = GetParam().net,
                           .entry_daemons = entry_daemons,
                           .log_name = fmt::format("runner-paths-{}", GetParam().net),
                           .failure_domains = failure_domains,
                           .behind_runner_proxies = true}};
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::vector<std::unique_ptr<cuttable_paths>> paths;
    std::unique_ptr<open_loop_callers> callers;
    std::set<std::size_t> cut_off;
    std::size_t shift = 0; ///< other daemons are cut off the second time
    instant cut_at;
    instant healed_at;
};

TEST_P(entry_daemons_cut_off_from_runners, serve_callers_as_often_as_the_others)
{
    play("first cut");
    shift = 3;
    play("second cut");
    expect_promises_kept();
}

using existing = path_cut::existing_t;
using fresh = path_cut::fresh_t;

INSTANTIATE_TEST_SUITE_P(
    cuts, entry_daemons_cut_off_from_runners,
    testing::Values(
        cut_case{"hang", {existing::stall, fresh::hang}, cut_part::most, 2},
        cut_case{"reset", {existing::reset, fresh::hang}, cut_part::one_domain, 3},
        cut_case{"refuse", {existing::reset, fresh::refused}, cut_part::most, 4},
        cut_case{"live_on", {existing::live_on, fresh::refused}, cut_part::one, 5},
        cut_case{"hang_for_one", {existing::stall, fresh::hang}, cut_part::one, 6},
        cut_case{"live_on_and_hang", {existing::live_on, fresh::hang}, cut_part::one_domain, 7}),
    [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cedarpoint

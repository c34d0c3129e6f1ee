// Guards against entry daemons that are cut off from all runners refusing their callers although
// other entry daemons reach the runners.
// Larger fleets are run by hand: RUNNER_PATHS_DAEMONS=30.

#include "daemon/site.h"
#include "io/clock.h"
#include "runner_paths/cuttable_fleet.h"
#include "support/environment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <set>

namespace cedarpoint {
namespace {

using testing_support::cuttable_fleet;
using testing_support::number_from_environment;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::path_cut;

constexpr int failure_domains = 3;
constexpr double requests_per_daemon = 7.5; ///< a second
constexpr duration cut_time = seconds{7};
/// Callers are served again from this long after the beginning of a cut.
constexpr duration contact_time = seconds{3};
/// First attempts served at daemons that are cut off, relative to those at the others.
constexpr double min_relative_share = 0.95;
/// First attempts served at the others.
constexpr double min_share_elsewhere = 0.99;

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

class entry_daemons_cut_off_from_runners : public testing::TestWithParam<cut_case>,
                                           protected cuttable_fleet {
protected:
    entry_daemons_cut_off_from_runners()
        : cuttable_fleet{{.net = GetParam().net,
                          .log_name = fmt::format("runner-paths-{}", GetParam().net),
                          .entry_daemons = entry_daemons(),
                          .failure_domains = failure_domains,
                          .groups = 3}}
    {
    }

    static int entry_daemons()
    {
        return static_cast<int>(number_from_environment("RUNNER_PATHS_DAEMONS", 8));
    }

    void SetUp() override
    {
        for (const auto& runner : runners) {
            runner->answer_time = milliseconds{20};
        }
        ASSERT_TRUE(start());
        callers = std::make_unique<open_loop_callers>(fleet.entries(),
                                                      requests_per_daemon * entry_daemons(), "r",
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

    void play(const char* when)
    {
        cut(GetParam().part);
        pass_time(cut_time);
        heal();
        // The answers to all requests of the cut.
        pass_time(milliseconds{2500});
        expect_served_as_elsewhere(when);
    }

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
    expect_at_most_once(*callers);
}

/// Runners that fall silent for about a second, one after the other, and go on.
class runners_that_pause : public entry_daemons_cut_off_from_runners {};

TEST_P(runners_that_pause, move_no_daemon_to_others)
{
    for (std::size_t runner = 0; runner < runners.size(); ++runner) {
        set_silent(runner, true);
        pass_time(milliseconds{1100});
        set_silent(runner, false);
        pass_time(milliseconds{200});
    }
    callers->stop();
    pass_time(milliseconds{2500});
    const auto served = callers->served_share({}, steady_now());
    EXPECT_GE(served, min_share_elsewhere);
    expect_at_most_once(*callers);
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
INSTANTIATE_TEST_SUITE_P(pauses, runners_that_pause,
                         testing::Values(cut_case{"no_cut", {}, cut_part::one, 18}),
                         [](const auto& it) { return it.param.name; });

} // namespace
} // namespace cedarpoint

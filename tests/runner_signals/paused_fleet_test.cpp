// Guards against an entry daemon sending requests to a runner during a pause that the runner has
// asked it for, or after the runner has signalled that it is leaving.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"
#include "support/pausing_runner.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::pausing_runner;
using testing_support::platform_runner;

/// Guaranteed to users: once an entry daemon has received an answer which signals that the runner
/// is leaving, it stops sending callers' requests to this runner within this time.
constexpr duration drain_time = seconds{2};

constexpr duration at_once = milliseconds{500};
constexpr int refused_status = 503;
constexpr duration pause_of_all = seconds{5};

std::string document(int version, const std::string& service)
{
    const bool streams = service == "pool";
    return fmt::format(R"({{"version":{},
        "routes":[{{"name":"r","host":"h.example","pathPrefix":"/r/","kind":"{}","resumable":{},
                   "timeoutMs":2000,"service":"{}","maxAttempts":2}}],
        "services":[{{"name":"{}"}}]}})",
                       version, streams ? "streaming" : "safe", streams, service, service);
}

struct site_shape {
    int entry_daemons = 0;
    int net = 0; ///< first of the loopback nets that this site uses, one for each test
};

// GoogleTest looks up this function by its name.
void PrintTo( // NOLINT(readability-identifier-naming)
    const site_shape& in, std::ostream* out)
{
    *out << in.entry_daemons << " entry daemons";
}

class a_fleet_whose_runners_speak : public testing::TestWithParam<site_shape> {
protected:
    static constexpr int runner_count = 4;

    void start(const std::string& service)
    {
        fleet.start_all();
        for (int n = 0; n < runner_count; ++n) {
            runners.push_back(std::make_unique<platform_runner>(
                fmt::format("s-{}", n), service, fleet.controls(), std::uint64_t{1000}));
            // Some answers arrive after a later request of the same daemon was answered with a 503.
            runners.back()->answer_time = milliseconds{20 + 60 * n};
            runners.back()->slots = 100;
        }
        ASSERT_TRUE(fleet.put(document(1, service)));
        ASSERT_TRUE(fleet.wait_serving("/r/x"));
        callers = std::make_unique<open_loop_callers>(
            fleet.entries(), 4.0 * GetParam().entry_daemons, "", [](std::size_t) {
                return open_loop_callers::request{"GET", "/r/x", ""};
            });
        pass_time(seconds{1});
        for (const auto& runner : runners) {
            pauses.push_back(std::make_unique<pausing_runner>(*runner));
        }
    }

    /// Makes a random runner reject the next request of a random entry daemon with a pause of 1.5
    /// to 4 s. Does nothing if a rejection is pending for the daemon at any runner, if half of the
    /// runners are paused for it, or if the chosen one is. So at least two runners are not paused
    /// for each daemon, and it can retry a rejected request at one of them.
    void pause_at_random()
    {
        std::uniform_int_distribution<int> any_sender{0, GetParam().entry_daemons - 1};
        std::uniform_int_distribution<std::size_t> any_runner{0, pauses.size() - 1};
        std::uniform_int_distribution<int> any_ms{1500, 4000};
        const int sender = any_sender(random);
        const bool is_due = std::any_of(pauses.begin(), pauses.end(),
                                        [&](const auto& each) { return each->is_due_for(sender); });
        const auto paused = std::count_if(pauses.begin(), pauses.end(), [&](const auto& each) {
            return each->is_paused_for(sender);
        });
        auto& chosen = *pauses[any_runner(random)];
        if (!is_due && paused < runner_count - 2 && !chosen.is_paused_for(sender)) {
            chosen.ask(sender, milliseconds{any_ms(random)});
        }
    }

    /// Passes `time` while runners ask one daemon after the other for pauses.
    void pass_time_with_pauses(duration time)
    {
        const auto until = steady_now() + time;
        while (steady_now() < until) {
            pause_at_random();
            pass_time(milliseconds{600} / GetParam().entry_daemons);
        }
    }

    [[nodiscard]] int count_requests_in_pauses() const
    {
        int out = 0;
        for (const auto& each : pauses) {
            out += each->within;
        }
        return out;
    }

    [[nodiscard]] int count_pauses() const
    {
        int out = 0;
        for (const auto& each : pauses) {
            out += each->asked;
        }
        return out;
    }

    /// Counts the requests that a runner has received since it began to leave at `left_at`. The
    /// runner signals the leave in its answer to each of them.
    struct leave_count {
        /// More than `drain_time` after the first request of the same daemon since `left_at`.
        int late = 0;
        /// At `from` or later, from any daemon.
        int after = 0;
        /// Those at `from` or later: the daemon, and when it came.
        std::string described;
    };
    [[nodiscard]] leave_count count_after_leave(std::size_t runner, instant left_at,
                                                instant from) const
    {
        leave_count out;
        std::map<int, instant> informed_at;
        for (const auto& each : pauses[runner]->arrivals) {
            if (each.at < left_at) {
                continue;
            }
            const auto first = informed_at.emplace(each.sender, each.at).first->second;
            out.late += each.at - first > drain_time ? 1 : 0;
            if (each.at >= from) {
                ++out.after;
                out.described +=
                    fmt::format("entry daemon {} at {} ms, {} ms after its first; ", each.sender,
                                to_ms(each.at - from), to_ms(each.at - first));
            }
        }
        return out;
    }

    /// Tests run in parallel, so each needs its own addresses.
    [[nodiscard]] static int net_of_this_test()
    {
        const std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
        constexpr std::array<const char*, 5> first_words{"sends", "refuses", "begins", "spares",
                                                         "hears"};
        const auto found = std::find_if(first_words.begin(), first_words.end(),
                                        [&](const char* each) { return name.starts_with(each); });
        return GetParam().net + static_cast<int>(found - first_words.begin());
    }

    int net = net_of_this_test();
    /// Each request that is answered with a 503 uses the retry budget, so the ratio is raised to 1.
    static constexpr double retry_ratio = 1;
    fleet_processes fleet{
        {net, GetParam().entry_daemons, fmt::format("paused-{}", net), false, "", retry_ratio}};
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::unique_ptr<open_loop_callers> callers;
    std::vector<std::unique_ptr<pausing_runner>> pauses;
    std::mt19937_64 random{39}; // NOLINT(cert-msc51-cpp): the same plan in each run
};

TEST_P(a_fleet_whose_runners_speak, sends_nothing_within_a_pause_whatever_else_happens)
{
    start("shop");
    const auto started_at = steady_now();
    pass_time_with_pauses(seconds{4});

    // Configurations change.
    for (int version = 2; version < 5; ++version) {
        ASSERT_TRUE(fleet.put(document(version, "shop")));
        pass_time_with_pauses(milliseconds{700});
    }
    // A runner disappears from the view and returns.
    runners[0]->set_heartbeats_stopped(true);
    pass_time_with_pauses(milliseconds{1200});
    runners[0]->set_heartbeats_stopped(false);
    pass_time_with_pauses(milliseconds{1500});

    // The leader fails and restarts.
    const auto failed_leader = fleet.leader();
    ASSERT_TRUE(failed_leader.has_value());
    fleet.at(*failed_leader).signal(SIGKILL);
    pass_time_with_pauses(seconds{3});
    fleet.start(*failed_leader, false);
    pass_time_with_pauses(seconds{2});

    EXPECT_EQ(count_requests_in_pauses(), 0);
    EXPECT_GT(count_pauses(), GetParam().entry_daemons) << "enough pauses were asked for";
    EXPECT_GT(callers->served_share(started_at, steady_now()), 0.99)
        << "the other runners serve meanwhile";
}

TEST_P(a_fleet_whose_runners_speak, refuses_at_once_while_all_have_asked_for_a_pause)
{
    start("shop");
    for (const auto& each : pauses) {
        for (int sender = 0; sender < GetParam().entry_daemons; ++sender) {
            each->ask(sender, pause_of_all);
        }
    }
    pass_time(seconds{2}); // by then each daemon has sent a request to each runner
    const auto all_paused = steady_now();
    pass_time(seconds{2});
    EXPECT_EQ(count_requests_in_pauses(), 0);
    int refused = 0;
    for (const auto& each : callers->results) {
        if (each.status != refused_status || each.ended < all_paused) {
            continue;
        }
        ++refused;
        EXPECT_LT(each.took, at_once);
        const auto since_answer = std::chrono::duration<double>(steady_now() - each.ended).count();
        EXPECT_GT(each.retry_after, since_answer) << "all runners are paused until then";
        EXPECT_LT(each.retry_after, 6);
    }
    EXPECT_GT(refused, GetParam().entry_daemons);

    // The pauses end; all are served again.
    pass_time(seconds{4});
    EXPECT_EQ(count_requests_in_pauses(), 0);
    EXPECT_GT(callers->served_share(steady_now() - seconds{1}, steady_now()), 0.99);
}

TEST_P(a_fleet_whose_runners_speak, begins_anew_with_a_new_life)
{
    start("shop");
    for (int sender = 0; sender < GetParam().entry_daemons; ++sender) {
        pauses[0]->ask(sender, seconds{60});
    }
    pass_time(seconds{3});
    EXPECT_EQ(count_requests_in_pauses(), 0);
    runners[0]->crash();
    pass_time(runners[0]->restart_delay);
    const auto before = pauses[0]->arrivals.size();
    pass_time(seconds{3});
    EXPECT_GT(pauses[0]->arrivals.size(),
              before + static_cast<std::size_t>(GetParam().entry_daemons))
        << "the new incarnation has asked for no pause";
}

TEST_P(a_fleet_whose_runners_speak, spares_one_that_says_that_it_leaves)
{
    start("shop");
    const auto left_at = steady_now();
    runners[0]->leaving = true; // its heartbeats still say that it is ready
    pass_time(seconds{3});
    const auto with_leader = count_after_leave(0, left_at, left_at + seconds{1});
    EXPECT_EQ(with_leader.late, 0);
    EXPECT_EQ(with_leader.after, 0) << "the other daemons learned of the leave from the leader";

    // Without a leader each daemon relies on the answers that it receives itself, including a 503.
    for (int n = 0; n < fleet_processes::control_count; ++n) {
        fleet.at(n).signal(SIGKILL);
    }
    const auto left_without_leader_at = steady_now();
    runners[1]->leaving = true;
    for (int sender = 0; sender < GetParam().entry_daemons; sender += 2) {
        pauses[1]->ask(sender, milliseconds{1});
    }
    pass_time(seconds{5});
    EXPECT_EQ(count_after_leave(1, left_without_leader_at, left_without_leader_at).late, 0);
    EXPECT_EQ(count_after_leave(0, left_at, left_at + seconds{1}).late, 0);
    EXPECT_GT(callers->served_share(left_at, steady_now()), 0.99)
        << "the other runners serve meanwhile";

    // The next leader learns of the leave from the daemons.
    for (int n = 0; n < fleet_processes::control_count; ++n) {
        fleet.start(n, false);
    }
    const auto leader_back_at = steady_now();
    pass_time(seconds{6});
    for (const std::size_t n : {0U, 1U}) {
        const auto seen = count_after_leave(n, left_at, leader_back_at);
        EXPECT_EQ(seen.after, 0) << n << ": " << seen.described;
    }
}

TEST_P(a_fleet_whose_runners_speak, hears_a_leave_in_the_head_of_a_stream)
{
    start("pool");
    const auto left_at = steady_now();
    runners[0]->leaving = true;
    pass_time(seconds{4});
    const auto seen = count_after_leave(0, left_at, left_at + seconds{1});
    EXPECT_EQ(seen.late, 0);
    EXPECT_EQ(seen.after, 0);
    EXPECT_GT(callers->served_share(left_at, steady_now()), 0.99);
}

INSTANTIATE_TEST_SUITE_P(sizes, a_fleet_whose_runners_speak,
                         testing::Values(site_shape{8, 210}, site_shape{30, 216}),
                         [](const auto& each) {
                             return fmt::format("{}_entry_daemons", each.param.entry_daemons);
                         });

} // namespace
} // namespace cedarpoint

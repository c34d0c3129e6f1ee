// Guards against a request that crashes each runner that runs it being sent to one runner after the
// other. This happens with many entry daemons if each sees only one or two of the crashes.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;

// The guarantee to users: once a request has crashed three runners, it arrives at most three more
// times at runners, over any time, from daemons that have been connected for `contact_time`.
constexpr std::size_t crashes_before_guarantee = 3;
constexpr duration contact_time = seconds{3};
constexpr std::size_t max_arrivals_after = 3;

constexpr int runner_count = 12;

/// Longest time for a refusal without an attempt.
constexpr duration at_once = milliseconds{500};

/// Status that a sound request must not get because of other requests.
constexpr int quarantined_status = 429;

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":3},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":2000,"service":"shop","maxAttempts":3}],
    "services":[{"name":"shop"}]})";

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

/// The effect of one request on all runners.
struct crash_impact {
    std::size_t arrivals = 0;       ///< each crashes its runner, or arrives while it is crashing
    std::size_t arrivals_after = 0; ///< arrivals that the guarantee bounds
};

class a_fleet_with_a_crashing_request : public testing::TestWithParam<site_shape> {
protected:
    void SetUp() override
    {
        fleet.start_all();
        for (int n = 0; n < runner_count; ++n) {
            runners.push_back(std::make_unique<platform_runner>(
                fmt::format("s-{}", n), "shop", fleet.controls(), std::uint64_t{1000}));
            runners.back()->answer_time = milliseconds{20};
            runners.back()->crash_trigger = "ends-runners";
        }
        ASSERT_TRUE(fleet.put(document));
        ASSERT_TRUE(fleet.wait_serving("/safe/x"));
        pass_time(seconds{1});
    }

    /// Starts callers that all send the same body, on a safe or an unsafe route.
    std::unique_ptr<open_loop_callers> start_callers_with_same_body(double per_second,
                                                                    const std::string& name,
                                                                    const std::string& target,
                                                                    const std::string& body)
    {
        return std::make_unique<open_loop_callers>(
            fleet.entries(), per_second, name, [target, body](std::size_t) {
                return open_loop_callers::request{"POST", target, body};
            });
    }

    /// Starts callers whose requests all differ.
    std::unique_ptr<open_loop_callers> ask_sound(double per_second)
    {
        return std::make_unique<open_loop_callers>(
            fleet.entries(), per_second, "sound", [](std::size_t n) {
                return open_loop_callers::request{"POST", "/safe/x", fmt::format("sound {}", n)};
            });
    }

    [[nodiscard]] crash_impact crash_impact_of(const std::string& body) const
    {
        std::vector<instant> arrivals;
        for (const auto& runner : runners) {
            for (const auto& each : runner->arrivals) {
                if (each.body == body) {
                    arrivals.push_back(each.at);
                }
            }
        }
        std::sort(arrivals.begin(), arrivals.end());
        crash_impact out;
        out.arrivals = arrivals.size();
        if (arrivals.size() >= crashes_before_guarantee) {
            const auto counted_from =
                arrivals[crashes_before_guarantee - 1] + runners[0]->crash_delay + contact_time;
            out.arrivals_after = static_cast<std::size_t>(std::count_if(
                arrivals.begin(), arrivals.end(), [&](instant at) { return at > counted_from; }));
        }
        return out;
    }

    static void expect_no_quarantine(const open_loop_callers& callers)
    {
        for (const auto& each : callers.results) {
            EXPECT_NE(each.status, quarantined_status) << each.text;
        }
    }

    void expect_guarantee(const std::string& body) const
    {
        const auto impact = crash_impact_of(body);
        EXPECT_GE(impact.arrivals, crashes_before_guarantee)
            << body << " crashes the runners in this test";
        EXPECT_LE(impact.arrivals_after, max_arrivals_after)
            << body << ", " << impact.arrivals << " arrivals in all";
    }

    /// Tests run in parallel, so each needs its own addresses.
    [[nodiscard]] static int net_of_this_test()
    {
        const std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
        constexpr std::array<std::string_view, 5> test_prefixes{"sends_it", "keeps", "tells_it",
                                                                "counts_ends", "refuses_no"};
        const auto found = std::find_if(test_prefixes.begin(), test_prefixes.end(),
                                        [&](auto each) { return name.starts_with(each); });
        return GetParam().net + static_cast<int>(found - test_prefixes.begin());
    }

    int net = net_of_this_test();
    fleet_processes fleet{
        {net, GetParam().entry_daemons, fmt::format("quarantine-{}", net), false}};
    std::vector<std::unique_ptr<platform_runner>> runners;
};

const std::string repeatable = "ends-runners, may be repeated";
const std::string unrepeatable = "ends-runners, may not";

TEST_P(a_fleet_with_a_crashing_request, sends_it_to_few_more_runners_once_three_have_ended)
{
    const auto sound = ask_sound(30);
    auto first = start_callers_with_same_body(5, "first", "/safe/x", repeatable);
    auto second = start_callers_with_same_body(4, "second", "/once/x", unrepeatable);
    pass_time(seconds{9});
    expect_guarantee(repeatable);
    expect_guarantee(unrepeatable);
    for (const auto* callers : {first.get(), second.get()}) {
        ASSERT_FALSE(callers->results.empty());
        EXPECT_EQ(callers->results.back().status, quarantined_status);
        EXPECT_LT(callers->results.back().took, at_once);
    }

    // The leader fails.
    const auto failed_leader = fleet.leader();
    ASSERT_TRUE(failed_leader.has_value());
    fleet.at(*failed_leader).signal(SIGKILL);
    pass_time(seconds{3});
    fleet.start(*failed_leader, false);
    expect_guarantee(repeatable);
    expect_guarantee(unrepeatable);

    // Every entry daemon fails and restarts, one after the other.
    for (int n = fleet_processes::control_count; n < fleet.count(); ++n) {
        fleet.at(n).signal(SIGKILL);
        pass_time(milliseconds{100});
        fleet.start(n, false);
        pass_time(milliseconds{150});
    }
    expect_guarantee(repeatable);
    expect_guarantee(unrepeatable);

    // The callers stop, and send the request again after a pause.
    first.reset();
    second.reset();
    pass_time(seconds{10});
    first = start_callers_with_same_body(5, "again", "/safe/x", repeatable);
    pass_time(seconds{3});
    expect_guarantee(repeatable);
    expect_no_quarantine(*sound);
}

// Guards against missed crashes of runners whose addresses accept connections all along: a
// supervisor keeps the listening socket open, so only the heartbeat of the next incarnation shows
// that the runner crashed.
TEST_P(a_fleet_with_a_crashing_request, counts_ends_of_runners_whose_port_stays_open)
{
    for (const auto& runner : runners) {
        runner->keeps_port_open = true;
        runner->restart_delay = milliseconds{300};
    }
    const auto sound = ask_sound(30);
    const auto crashing = start_callers_with_same_body(7, "crashing", "/safe/x", repeatable);
    pass_time(seconds{12});
    expect_guarantee(repeatable);
    expect_no_quarantine(*sound);
    EXPECT_GT(sound->served_share(steady_now() - seconds{2}, steady_now()), 0.95);
}

// Guards against quarantining a sound request whose connections are cut by runners that crash for
// another reason.
TEST_P(a_fleet_with_a_crashing_request, refuses_no_popular_request_at_runners_whose_port_stays_open)
{
    for (const auto& runner : runners) {
        runner->keeps_port_open = true;
        runner->restart_delay = milliseconds{300};
    }
    const auto popular = start_callers_with_same_body(60, "popular", "/safe/x", "popular");
    for (int round = 0; round < 20; ++round) {
        for (std::size_t n = 0; n < runners.size(); n += 3) {
            runners[(n + static_cast<std::size_t>(round)) % runners.size()]->crash();
        }
        pass_time(milliseconds{500});
    }
    pass_time(seconds{2});
    expect_no_quarantine(*popular);
    EXPECT_GT(popular->served_share(steady_now() - seconds{2}, steady_now()), 0.95);
}

TEST_P(a_fleet_with_a_crashing_request, keeps_serving_a_popular_request_while_runners_end)
{
    // The runners crash for another reason while the popular request is in flight at each of them.
    const auto popular = start_callers_with_same_body(60, "popular", "/safe/x", "popular");
    for (int round = 0; round < 3; ++round) {
        for (std::size_t n = 0; n < runners.size(); n += 2) {
            runners[n]->crash();
            pass_time(milliseconds{300});
        }
        // Several crash at once, as if their rack had failed.
        for (std::size_t n = 1; n < 8; n += 2) {
            runners[n]->crash();
        }
        pass_time(seconds{3});
    }
    expect_no_quarantine(*popular);
    EXPECT_GT(popular->served_share(steady_now() - seconds{2}, steady_now()), 0.95);
}

TEST_P(a_fleet_with_a_crashing_request, tells_it_from_the_requests_beside_it)
{
    // Ten sound requests are in flight at each runner when the crashing one arrives.
    for (const auto& runner : runners) {
        runner->answer_time = milliseconds{400};
        runner->slots = 16;
    }
    const auto beside = ask_sound(runner_count * 10 / 0.4);
    pass_time(seconds{1});
    const auto crashing = start_callers_with_same_body(4, "crashing", "/safe/x", repeatable);
    pass_time(seconds{9});
    expect_guarantee(repeatable);
    expect_no_quarantine(*beside);
}

INSTANTIATE_TEST_SUITE_P(sizes, a_fleet_with_a_crashing_request,
                         testing::Values(site_shape{8, 232}, site_shape{30, 237}),
                         [](const auto& each) {
                             return fmt::format("{}_entry_daemons", each.param.entry_daemons);
                         });

} // namespace
} // namespace cedarpoint

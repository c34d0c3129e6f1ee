// Guards against entry daemons together exceeding the rate limit that a runner names. Two runners
// named limits of 2.1 and 2.8 requests per second, and three seconds later received 27 and 23
// requests in 4 s from eight entry daemons that had the limit: daemons passed the header on to the
// callers without reading it, and had no means of sharing one rate. Arrivals at each daemon were
// the same before and after the limit was named. The daemons now read the limit, and the leader
// divides it among them.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;

// The guarantee to a runner that names a limit, once `first_named_for` has passed: in any `window`
// the daemons that have had the limit for `informed_for` send it at most `allowed_factor` times the
// requests that the rate allows, plus `allowed_extra`.
constexpr duration window = seconds{4};
constexpr duration informed_for = milliseconds{500};
constexpr duration first_named_for = seconds{3};
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

/// Longest time for a refusal when all runners are known to be at their limits.
constexpr duration at_once = milliseconds{500};

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":2}],
    "services":[{"name":"shop"}]})";

/// Returns the entry daemon that sent a request: the request's id begins with its number.
int sender_of(const std::string& request)
{
    return std::stoi(request);
}

/// Returns the highest number of counted requests at a runner in any window that ends at or after
/// `from`, as a fraction of what the guarantee allows for a limit of `rate`.
double highest_use(const platform_runner& runner, double rate, instant from)
{
    std::map<int, instant> informed_at;
    std::vector<instant> counted;
    double highest = 0;
    for (const auto& each : runner.arrivals) {
        const int sender = sender_of(each.request);
        if (const auto first = informed_at.find(sender);
            first != informed_at.end() && each.at - first->second >= informed_for) {
            counted.push_back(each.at);
        }
        if (each.has_rate_limit) {
            informed_at.emplace(sender, each.at);
        }
    }
    for (auto end = counted.begin(); end != counted.end(); ++end) {
        if (*end >= from) {
            const auto first = std::upper_bound(counted.begin(), end, *end - window);
            highest = std::max(highest, static_cast<double>(end - first + 1));
        }
    }
    return highest / (allowed_factor * rate * 4 + allowed_extra);
}

struct site_shape {
    int entry_daemons = 0;
    double limit_of_one = 0; ///< if one runner of three names a limit
    double limit_of_all = 0; ///< if all three name a limit
    double requests_per_second = 0;
    int net = 0; ///< first of the loopback nets that this site uses, one for each test
};

// GoogleTest looks up this function by its name.
void PrintTo( // NOLINT(readability-identifier-naming)
    const site_shape& in, std::ostream* out)
{
    *out << in.entry_daemons << " entry daemons";
}

class a_limited_fleet : public testing::TestWithParam<site_shape> {
protected:
    void SetUp() override
    {
        fleet.start_all();
        for (int n = 0; n < 3; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop",
                                                                fleet.controls()));
            // Without this, response times vary at random, and one runner may be ranked as slow.
            runners.back()->answer_time = milliseconds{20};
        }
        ASSERT_TRUE(fleet.put(document));
        ASSERT_TRUE(fleet.wait_serving("/safe/x"));
        callers = std::make_unique<open_loop_callers>(
            fleet.entries(), shape.requests_per_second, "", [](std::size_t) {
                return open_loop_callers::request{"GET", "/safe/x", ""};
            });
        pass_time(seconds{2});
    }

    [[nodiscard]] std::size_t arrivals_since(const platform_runner& runner, instant from) const
    {
        return static_cast<std::size_t>(
            std::count_if(runner.arrivals.begin(), runner.arrivals.end(),
                          [&](const auto& each) { return each.at >= from; }));
    }

    /// Tests run in parallel, so each needs its own addresses.
    [[nodiscard]] static int net_of_this_test()
    {
        const std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
        return GetParam().net + (name.starts_with("gives_one_runner") ? 0 : 1);
    }

    site_shape shape = GetParam();
    int net = net_of_this_test();
    fleet_processes fleet{{net, shape.entry_daemons, fmt::format("rate-limit-{}", net), false}};
    std::vector<std::unique_ptr<platform_runner>> runners;
    std::unique_ptr<open_loop_callers> callers;
};

TEST_P(a_limited_fleet, gives_one_runner_no_more_than_it_names_and_the_others_the_rest)
{
    auto& limited = *runners[0];
    const double rate = shape.limit_of_one;
    const auto named_at = steady_now();
    limited.rate_limit = fmt::format("{}", rate);
    pass_time(seconds{9});
    EXPECT_LE(highest_use(limited, rate, named_at + first_named_for), 1);
    EXPECT_GT(arrivals_since(limited, named_at + seconds{3}), rate * 6 * 0.4)
        << "the allowed rate is used";
    EXPECT_GT(callers->served_share(named_at, steady_now()), 0.98)
        << "the other runners serve the rest";

    // The leader fails and restarts.
    const auto failed_leader = fleet.leader();
    ASSERT_TRUE(failed_leader.has_value());
    const auto killed_at = steady_now();
    fleet.at(*failed_leader).signal(SIGKILL);
    pass_time(seconds{5});
    fleet.start(*failed_leader, false);
    pass_time(seconds{3});
    EXPECT_LE(highest_use(limited, rate, killed_at), 1);
    EXPECT_GT(arrivals_since(limited, killed_at + seconds{3}), 0)
        << "requests arrive under the next leader as well";

    // The runner names a lower limit.
    const double lower = rate / 2;
    limited.rate_limit = fmt::format("{}", lower);
    const auto changed_at = steady_now();
    pass_time(seconds{8});
    EXPECT_LE(highest_use(limited, lower, changed_at + window + informed_for), 1);

    // The runner stops naming a limit.
    limited.rate_limit.clear();
    pass_time(seconds{6});
    const auto equal_share = shape.requests_per_second / 3;
    pass_time(seconds{2});
    const auto received = arrivals_since(limited, steady_now() - seconds{2});
    EXPECT_GT(static_cast<double>(received), equal_share)
        << "half of its equal share in two seconds";
}

TEST_P(a_limited_fleet, refuses_at_once_what_all_runners_together_do_not_take)
{
    const double rate = shape.limit_of_all;
    const auto named_at = steady_now();
    for (const auto& runner : runners) {
        runner->rate_limit = fmt::format("{}", rate);
    }
    pass_time(seconds{9});
    double arrivals = 0;
    for (const auto& runner : runners) {
        EXPECT_LE(highest_use(*runner, rate, named_at + first_named_for), 1) << runner->id();
        arrivals += static_cast<double>(arrivals_since(*runner, named_at + seconds{3}));
    }
    EXPECT_GT(arrivals, rate * 3 * 6 * 0.6) << "the allowed rate is used";
    for (const auto& each : callers->results) {
        const bool limits_known = each.ended > named_at + seconds{2};
        EXPECT_TRUE(each.status == 200 || each.status == 503) << each.status;
        EXPECT_TRUE(!limits_known || each.status == 200 || each.took < at_once) << to_ms(each.took);
    }
}

std::vector<site_shape> shapes()
{
    // `limit_of_one` is below one request per second for each daemon, `limit_of_all` above.
    return {{8, 2.1, 12, 60, 230}, {30, 2.8, 5, 120, 232}};
}

INSTANTIATE_TEST_SUITE_P(sizes, a_limited_fleet, testing::ValuesIn(shapes()), [](const auto& each) {
    return fmt::format("{}_entry_daemons", each.param.entry_daemons);
});

} // namespace
} // namespace cedarpoint

// What was seen: two runners named a limit of 2.1 and 2.8 requests a second; three seconds later
// they had got 27 and 23 requests in 4 s from the eight entry daemons that they had told.
// How it came about: the limit was passed on to the callers with the rest of the answer's head, and
// no daemon read it; and there was nothing by which daemons could keep one rate together.
// What proved it: arrivals at both runners were the same before and after the naming, at each
// daemon; with the limit read and divided by the leader, the windows of this test hold.

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

// The promise to a runner in need, from the users' rules.
constexpr duration window = seconds{4};
constexpr duration told_for = milliseconds{500};
constexpr duration first_named_for = seconds{3};
constexpr double allowed_factor = 1.5;
constexpr double allowed_more = 5;

/// A refusal is for lack of room that is already known: it must not wait.
constexpr duration at_once = milliseconds{500};

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":2}],
    "services":[{"name":"shop"}]})";

/// The entry daemon that sent a request: its id begins with the daemon's number.
int sender_of(const std::string& request)
{
    return std::stoi(request);
}

/// The most requests in a window at a runner that the rule counts, as a multiple of what a limit
/// of `rate` allows; windows that end from `from` on.
double worst_use(const platform_runner& runner, double rate, instant from)
{
    std::map<int, instant> told_at;
    std::vector<instant> counted;
    double worst = 0;
    for (const auto& each : runner.arrivals) {
        const int sender = sender_of(each.request);
        if (const auto first = told_at.find(sender);
            first != told_at.end() && each.at - first->second >= told_for) {
            counted.push_back(each.at);
        }
        if (each.told) {
            told_at.emplace(sender, each.at);
        }
    }
    for (auto end = counted.begin(); end != counted.end(); ++end) {
        if (*end >= from) {
            const auto first = std::upper_bound(counted.begin(), end, *end - window);
            worst = std::max(worst, static_cast<double>(end - first + 1));
        }
    }
    return worst / (allowed_factor * rate * 4 + allowed_more);
}

struct site_shape {
    int entry_daemons = 0;
    double limit_of_one = 0; ///< where one runner of three names a limit
    double limit_of_all = 0; ///< where all three do
    double requests_per_second = 0;
    int net = 0; ///< of the loopback range; the next one is this site's as well
};

// The name is that which the test library looks for.
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
        for (int made = 0; made < 3; ++made) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", made), "shop",
                                                                fleet.controls()));
            // Without work the times to answer are chance, and one runner counts as slow by it.
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

    /// Tests run side by side, so that each needs addresses of its own.
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
    const auto named = steady_now();
    limited.rate_limit = fmt::format("{}", rate);
    pass_time(seconds{9});
    EXPECT_LE(worst_use(limited, rate, named + first_named_for), 1);
    EXPECT_GT(arrivals_since(limited, named + seconds{3}), rate * 6 * 0.4)
        << "what it takes is used";
    EXPECT_GT(callers->served_share(named, steady_now()), 0.98) << "the others take the rest";

    // The leader is lost, and comes back.
    const auto lost = fleet.leader();
    ASSERT_TRUE(lost.has_value());
    const auto killed = steady_now();
    fleet.at(*lost).signal(SIGKILL);
    pass_time(seconds{5});
    fleet.start(*lost, false);
    pass_time(seconds{3});
    EXPECT_LE(worst_use(limited, rate, killed), 1);
    EXPECT_GT(arrivals_since(limited, killed + seconds{3}), 0) << "under the next leader as well";

    // It names another limit.
    const double lower = rate / 2;
    limited.rate_limit = fmt::format("{}", lower);
    const auto changed = steady_now();
    pass_time(seconds{8});
    EXPECT_LE(worst_use(limited, lower, changed + window + told_for), 1);

    // It names none any more.
    limited.rate_limit.clear();
    pass_time(seconds{6});
    const auto even = shape.requests_per_second / 3;
    pass_time(seconds{2});
    const auto got = arrivals_since(limited, steady_now() - seconds{2});
    EXPECT_GT(static_cast<double>(got), even) << "half of its even share in two seconds";
}

TEST_P(a_limited_fleet, refuses_at_once_what_all_runners_together_do_not_take)
{
    const double rate = shape.limit_of_all;
    const auto named = steady_now();
    for (const auto& runner : runners) {
        runner->rate_limit = fmt::format("{}", rate);
    }
    pass_time(seconds{9});
    double used = 0;
    for (const auto& runner : runners) {
        EXPECT_LE(worst_use(*runner, rate, named + first_named_for), 1) << runner->id();
        used += static_cast<double>(arrivals_since(*runner, named + seconds{3}));
    }
    EXPECT_GT(used, rate * 3 * 6 * 0.6) << "what they take is used";
    for (const auto& each : callers->results) {
        const bool known = each.ended > named + seconds{2};
        EXPECT_TRUE(each.status == 200 || each.status == 503) << each.status;
        EXPECT_TRUE(!known || each.status == 200 || each.took < at_once) << to_ms(each.took);
    }
}

std::vector<site_shape> shapes()
{
    return {{8, 2.1, 12, 60, 230}, // one: below one request a second for each daemon; all: above
            {30, 2.8, 5, 120, 232}};
}

INSTANTIATE_TEST_SUITE_P(sizes, a_limited_fleet, testing::ValuesIn(shapes()), [](const auto& each) {
    return fmt::format("{}_entry_daemons", each.param.entry_daemons);
});

} // namespace
} // namespace cedarpoint

// What was seen: two runners named a limit of 2.1 and 2.8 requests a second; three seconds later
// they had got 27 and 23 requests in 4 s from the eight entry daemons that they had told.
// How it came about: the limit was passed on to the callers with the rest of the answer's head, and
// no daemon read it; and there was nothing by which daemons could keep one rate together.
// What proved it: arrivals at both runners were the same before and after the naming, at each
// daemon; with the limit read and divided by the leader, the windows of this test hold.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/daemon_process.h"

#include <QTemporaryDir>
#include <QTimer>

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::daemon_process;
using testing_support::platform_runner;
using testing_support::wait_until;

constexpr int control_count = 3;
constexpr std::uint16_t mesh_port = 17'340;
constexpr std::uint16_t control_port = 18'229;
constexpr std::uint16_t callers_port = 18'230;
constexpr std::uint16_t ready_port = 18'231;

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

/// Callers that ask whatever the answers are, unevenly spread over the entry daemons.
class open_loop_callers {
public:
    struct result {
        instant ended;
        int status = 0; ///< 0: no whole answer
        duration took{};
    };

    open_loop_callers(std::vector<endpoint> entries, double per_second)
        : entries_{std::move(entries)}, per_second_{per_second}, began_{steady_now()}
    {
        for (std::size_t which = 0; which < entries_.size(); ++which) {
            for (std::size_t share = 0; share <= which % 3; ++share) {
                turns_.push_back(which);
            }
        }
        QObject::connect(&timer_, &QTimer::timeout, [this] { send_due(); });
        timer_.start(5);
    }

    [[nodiscard]] double served_share(instant from, instant until) const
    {
        double all = 0;
        double served = 0;
        for (const auto& each : results) {
            const bool counts = each.ended >= from && each.ended < until;
            all += counts ? 1 : 0;
            served += counts && each.status == 200 ? 1 : 0;
        }
        return all == 0 ? 0 : served / all;
    }

    std::vector<result> results;

private:
    void send_due()
    {
        const auto passed = std::chrono::duration<double>(steady_now() - began_).count();
        while (static_cast<double>(sent_) < passed * per_second_) {
            send(turns_[sent_ * 7 % turns_.size()]);
            ++sent_;
        }
    }

    void send(std::size_t to)
    {
        exchange_request request;
        request.bytes = fmt::format("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                                    "X-Cedarpoint-Request-Id: {}-{}\r\n"
                                    "X-Cedarpoint-Deadline-Ms: 2000\r\n\r\n",
                                    to, sent_);
        auto* connection = pool_.take(entries_[to]);
        const auto began = steady_now();
        const auto status = std::make_shared<int>(0);
        exchange_handlers handlers;
        handlers.on_head = [status](const http_head& head) { *status = head.status; };
        handlers.on_body = [](const std::string&) {};
        handlers.on_end = [this, connection, status, began](exchange_end how, const reason&) {
            pool_.give_back(connection);
            const auto now = steady_now();
            results.push_back({now, how == exchange_end::complete ? *status : 0, now - began});
        };
        connection->start(std::move(request), std::move(handlers));
    }

    std::vector<endpoint> entries_;
    double per_second_;
    instant began_;
    std::vector<std::size_t> turns_; ///< entry daemons, each as often as its share
    runner_pool pool_;
    QTimer timer_;
    std::size_t sent_ = 0;
};

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
    for (const auto& [at, request, told] : runner.arrivals) {
        const int sender = sender_of(request);
        if (const auto first = told_at.find(sender);
            first != told_at.end() && at - first->second >= told_for) {
            counted.push_back(at);
        }
        if (told) {
            told_at.emplace(sender, at);
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
        for (int which = 0; which < control_count; ++which) {
            controls.push_back({fmt::format("127.{}.1.{}", net, which + 1), control_port});
        }
        daemons.resize(control_count + static_cast<std::size_t>(shape.entry_daemons));
        for (int which = 0; which < control_count + shape.entry_daemons; ++which) {
            start(which, true);
        }
        for (int made = 0; made < 3; ++made) {
            runners.push_back(
                std::make_unique<platform_runner>(fmt::format("s-{}", made), "shop", controls));
            // Without work the times to answer are chance, and one runner counts as slow by it.
            runners.back()->answer_time = milliseconds{20};
        }
        ASSERT_TRUE(wait_until([&] {
            return std::any_of(controls.begin(), controls.end(), [&](const endpoint& at) {
                return call(at, "POST", "/cedarpoint/config/put", "", document).head.status == 200;
            });
        }));
        for (const auto& entry : entries()) {
            ASSERT_TRUE(wait_until([&] {
                return call(entry, "GET", "/safe/x", "X-Cedarpoint-Request-Id: 0-w\r\n", "")
                           .head.status == 200;
            }));
        }
        callers = std::make_unique<open_loop_callers>(entries(), shape.requests_per_second);
        pass_time(seconds{2});
    }

    void start(int which, bool first)
    {
        nlohmann::json own{{"name", fmt::format("d-{}", which)}, {"failure_domain", "z"}};
        for (const auto& at : controls) {
            own["seeds"].push_back(at.str());
        }
        if (which < control_count) {
            const auto& at = controls[static_cast<std::size_t>(which)];
            own["role"] = "control";
            own["address"] = endpoint{at.ip, mesh_port}.str();
            own["control"] = at.str();
            own["data_folder"] = fmt::format("{}/data-{}", folder.path().toStdString(), which);
            own["first_start"] = first;
            own["heartbeat_ms"] = 150;
        }
        else {
            own["role"] = "entry";
            own["address"] = endpoint{ip_of_entry(which), mesh_port}.str();
            own["callers"] = endpoint{ip_of_entry(which), callers_port}.str();
            own["ready"] = endpoint{ip_of_entry(which), ready_port}.str();
        }
        const auto file = fmt::format("{}/d-{}.json", folder.path().toStdString(), which);
        std::ofstream{file} << own.dump();
        const auto log = fmt::format("{}/rate-limit-{}-{}.log", BINARY_DIR, net, which);
        daemons[static_cast<std::size_t>(which)] = std::make_unique<daemon_process>(file, log);
    }

    [[nodiscard]] std::string ip_of_entry(int which) const
    {
        return fmt::format("127.{}.3.{}", net, which - control_count + 1);
    }

    [[nodiscard]] std::vector<endpoint> entries() const
    {
        std::vector<endpoint> out;
        for (int which = 0; which < shape.entry_daemons; ++which) {
            out.push_back({ip_of_entry(control_count + which), callers_port});
        }
        return out;
    }

    [[nodiscard]] std::optional<int> leader() const
    {
        for (int which = 0; which < control_count; ++which) {
            const auto& at = controls[static_cast<std::size_t>(which)];
            if (call(at, "GET", "/cedarpoint/config/get", "", "").head.status == 200) {
                return which;
            }
        }
        return {};
    }

    static void pass_time(duration time)
    {
        wait_until([until = steady_now() + time] { return steady_now() > until; });
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
    QTemporaryDir folder;
    std::vector<endpoint> controls;
    std::vector<std::unique_ptr<daemon_process>> daemons;
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
    const auto lost = leader();
    ASSERT_TRUE(lost.has_value());
    const auto killed = steady_now();
    daemons[static_cast<std::size_t>(*lost)]->signal(SIGKILL);
    pass_time(seconds{5});
    start(*lost, false);
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

// Guards against decisions based on timers that stopped while the machine was suspended, or on data
// queued before and during the suspension.

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
#include <nlohmann/json.hpp>
#include <string_view>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;
using testing_support::raw_caller;
using testing_support::wait_until;

constexpr int first_entry = fleet_processes::control_count;

std::string document(int version)
{
    return fmt::format(R"({{"version":{},
        "routes":[{{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
                   "timeoutMs":4000,"service":"shop","maxAttempts":2}}],
        "services":[{{"name":"shop"}}]}})",
                       version);
}

class a_suspended_fleet : public testing::Test {
protected:
    void SetUp() override
    {
        fleet.start_all();
        for (int n = 0; n < 2; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop",
                                                                fleet.controls()));
        }
        ASSERT_TRUE(fleet.put(document(1)));
        ASSERT_TRUE(fleet.wait_serving("/safe/x"));
    }

    static int get_status(const endpoint& entry)
    {
        return call(entry, "GET", "/safe/x", "X-Cedarpoint-Request-Id: w\r\n", "").head.status;
    }

    void suspend(const std::vector<int>& daemons, duration time)
    {
        for (const int index : daemons) {
            fleet.at(index).signal(SIGSTOP);
        }
        pass_time(time);
        for (const int index : daemons) {
            fleet.at(index).signal(SIGCONT);
        }
    }

    /// Returns the number of requests that reached a runner.
    [[nodiscard]] std::size_t arrivals() const
    {
        std::size_t out = 0;
        for (const auto& runner : runners) {
            out += runner->arrivals.size();
        }
        return out;
    }

    /// Returns the latest version according to a control daemon; 0 if it gives none.
    static int version_at(const endpoint& control)
    {
        const auto answer = call(control, "GET", "/cedarpoint/config/get", "", "");
        if (answer.head.status != 200) {
            return 0;
        }
        return nlohmann::json::parse(answer.body).at("version").get<int>();
    }

    /// Tests run in parallel, so each uses its own addresses.
    [[nodiscard]] static int net_of_this_test()
    {
        const std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
        constexpr int first_net = 244;
        constexpr std::array<std::string_view, 6> name_prefixes{"answers", "reads", "serves",
                                                                "ends",    "sends", "counts"};
        const auto position = std::find_if(name_prefixes.begin(), name_prefixes.end(),
                                           [&](auto prefix) { return name.starts_with(prefix); });
        return first_net + static_cast<int>(position - name_prefixes.begin());
    }

    int net = net_of_this_test();
    fleet_processes fleet{
        {net, 2, fmt::format("suspension-{}", net), false, BINARY_DIR "/libsuspended_clock.so"}};
    std::vector<std::unique_ptr<platform_runner>> runners;
};

TEST_F(a_suspended_fleet, answers_what_has_expired_in_that_time_when_it_wakes)
{
    for (const auto& runner : runners) {
        runner->answer_time = seconds{30};
    }
    raw_caller caller{fleet.entries()[0]};
    caller.send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Cedarpoint-Request-Id: r\r\n"
                "X-Cedarpoint-Deadline-Ms: 2000\r\n\r\n");
    pass_time(milliseconds{300});
    suspend({first_entry}, seconds{3});
    const auto resumed = steady_now();
    ASSERT_TRUE(caller.wait_for("HTTP/1.1 504"));
    EXPECT_LT(steady_now() - resumed, milliseconds{300});
}

TEST_F(a_suspended_fleet, reads_no_old_configuration_after_its_leader_was_suspended)
{
    for (int round = 0; round < 3; ++round) {
        const auto leader = fleet.leader();
        ASSERT_TRUE(leader.has_value());
        fleet.at(*leader).signal(SIGSTOP);
        pass_time(milliseconds{100});
        ASSERT_TRUE(fleet.put(document(round + 2), leader))
            << "no other control daemon accepted it";
        fleet.at(*leader).signal(SIGCONT);
        const auto& control = fleet.controls()[static_cast<std::size_t>(*leader)];
        for (int n = 0; n < 50; ++n) {
            const int version = version_at(control);
            EXPECT_TRUE(version == 0 || version >= round + 2) << "version " << version;
        }
    }
}

TEST_F(a_suspended_fleet, serves_and_takes_changes_soon_after_all_were_suspended)
{
    open_loop_callers callers{fleet.entries(), 40, "c", [](std::size_t) {
                                  return open_loop_callers::request{"GET", "/safe/x", ""};
                              }};
    suspend({0, 1, 2}, seconds{4});
    ASSERT_TRUE(fleet.put(document(2)));
    suspend({0, 1}, seconds{4});
    ASSERT_TRUE(fleet.put(document(3)));
    suspend({first_entry, first_entry + 1}, seconds{4});
    const auto resumed = steady_now();
    pass_time(seconds{4});
    EXPECT_GT(callers.served_share(resumed + seconds{2}, resumed + seconds{4}), 0.99);
    EXPECT_EQ(version_at(fleet.controls()[static_cast<std::size_t>(*fleet.leader())]), 3);
}

// Guards against running requests that waited in socket buffers after their callers disconnected.
TEST_F(a_suspended_fleet, sends_nothing_for_callers_that_closed_at_their_deadline)
{
    constexpr int caller_count = 40;
    // Half of the callers reuse the connection of an earlier request.
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (int n = 0; n < caller_count / 2; ++n) {
        callers.push_back(std::make_unique<raw_caller>(fleet.entries()[0]));
        callers.back()->send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                             "X-Cedarpoint-Request-Id: before\r\n\r\n");
        ASSERT_TRUE(callers.back()->wait_for("plain"));
    }
    const auto arrivals_before = arrivals();
    fleet.at(first_entry).signal(SIGSTOP);
    for (int n = caller_count / 2; n < caller_count; ++n) {
        callers.push_back(std::make_unique<raw_caller>(fleet.entries()[0]));
    }
    for (const auto& caller : callers) {
        caller->send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Cedarpoint-Request-Id: late\r\n"
                     "X-Cedarpoint-Deadline-Ms: 500\r\n\r\n");
    }
    pass_time(milliseconds{600});
    callers.clear();
    pass_time(seconds{2});
    fleet.at(first_entry).signal(SIGCONT);
    pass_time(seconds{1});
    EXPECT_EQ(arrivals(), arrivals_before);
    EXPECT_EQ(get_status(fleet.entries()[0]), 200);
}

TEST_F(a_suspended_fleet, counts_a_deadline_from_when_the_request_came)
{
    raw_caller expired{fleet.entries()[0]};
    raw_caller waiting{fleet.entries()[0]};
    pass_time(milliseconds{200});
    fleet.at(first_entry).signal(SIGSTOP);
    expired.send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Cedarpoint-Request-Id: expired\r\n"
                 "X-Cedarpoint-Deadline-Ms: 1000\r\n\r\n");
    waiting.send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Cedarpoint-Request-Id: waiting\r\n"
                 "X-Cedarpoint-Deadline-Ms: 3500\r\n\r\n");
    pass_time(milliseconds{1500});
    for (const auto& runner : runners) {
        runner->answer_time = seconds{30};
    }
    const auto arrivals_before = arrivals();
    const auto resumed = steady_now();
    fleet.at(first_entry).signal(SIGCONT);
    ASSERT_TRUE(expired.wait_for("HTTP/1.1 503")) << "a request that has not run";
    EXPECT_LT(steady_now() - resumed, milliseconds{300});
    ASSERT_TRUE(waiting.wait_for("HTTP/1.1 504"));
    EXPECT_LT(steady_now() - resumed, milliseconds{2300});
    EXPECT_EQ(arrivals(), arrivals_before + 1);
}

TEST_F(a_suspended_fleet, ends_a_planned_stop_in_time_if_it_was_suspended_in_its_midst)
{
    auto& entry = fleet.at(first_entry);
    const auto start = steady_now();
    entry.signal(SIGTERM);
    pass_time(milliseconds{500});
    suspend({first_entry}, seconds{5});
    ASSERT_TRUE(wait_until([&] { return !entry.is_running(); }));
    EXPECT_LT(steady_now() - start, seconds{8}) << "the stop exceeded its bound";
    EXPECT_EQ(get_status(fleet.entries()[1]), 200);
}

} // namespace
} // namespace cedarpoint

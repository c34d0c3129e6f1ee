// Guarantee: an entry daemon that stops or reloads, beside changes of the configuration, answers
// the requests that it has read.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"
#include "support/fleet_processes.h"
#include "support/open_loop_callers.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <memory>
#include <string>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::platform_runner;
using testing_support::raw_caller;
using testing_support::status_of;
using testing_support::wait_until;

std::string document_of(int extra_routes)
{
    std::string extra;
    for (int n = 0; n < extra_routes; ++n) {
        extra += fmt::format(R"({{"name":"r{0}","host":"h.example","pathPrefix":"/r{0}/",)"
                             R"("kind":"safe","timeoutMs":2000,"service":"shop"}},)",
                             n);
    }
    return R"({"version":1,"routes":[)" + extra + R"(
        {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
         "timeoutMs":30000,"service":"shop","maxAttempts":2},
        {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
         "timeoutMs":30000,"service":"shop","maxAttempts":2}],
        "services":[{"name":"shop"}]})";
}

std::string request_of(const std::string& target, const std::string& id)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\nX-Cedarpoint-Request-Id: {}\r\n"
                       "Content-Length: 3\r\n\r\nwhy",
                       target, id);
}

class a_stopping_entry_daemon : public testing::Test {
protected:
    void start(int net, int entry_daemons)
    {
        fleet = std::make_unique<fleet_processes>(
            fleet_processes::options{.net = net,
                                     .entry_daemons = entry_daemons,
                                     .log_name = fmt::format("planned-stop-{}", net)});
        fleet->start_all();
        for (int n = 0; n < 4; ++n) {
            runners.push_back(std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop",
                                                                fleet->controls(), 1000U));
            runners.back()->slots = 50;
        }
        ASSERT_TRUE(fleet->put(document_of(0)));
        ASSERT_TRUE(fleet->wait_serving("/safe/x"));
    }
    testing_support::daemon_process& entry(int n) const
    {
        return fleet->at(fleet_processes::control_count + n);
    }

    std::unique_ptr<fleet_processes> fleet;
    std::vector<std::unique_ptr<platform_runner>> runners;
};

// Guards against requests that end with a closed connection at the stop bound.
TEST_F(a_stopping_entry_daemon, answers_requests_that_run_until_its_stop_bound)
{
    start(65, 1);
    for (auto& each : runners) {
        each->answer_time = seconds{60};
    }
    raw_caller safe{fleet->entries()[0]};
    raw_caller once{fleet->entries()[0]};
    safe.send(request_of("/safe/x", "safe-1"));
    once.send(request_of("/once/x", "once-1"));
    pass_time(milliseconds{300});
    const auto began = steady_now();
    entry(0).signal(SIGTERM);
    ASSERT_TRUE(wait_until([&] { return !entry(0).is_running(); }));
    EXPECT_LT(steady_now() - began, milliseconds{8000});
    EXPECT_TRUE(safe.wait_closed());
    EXPECT_TRUE(once.wait_closed());
    EXPECT_EQ(status_of(safe.received()), 503);
    EXPECT_EQ(status_of(once.received()), 502);
    EXPECT_NE(once.received().find("Connection: close"), std::string::npos);
}

/// A caller whose request is complete some time after the signal, on a connection from before it.
struct slow_sender {
    slow_sender(const endpoint& to, std::string kind, int after)
        : connection{to}, target{"/" + kind + "/x"}, id{fmt::format("{}-{}", kind, after)},
          sends_at{after}
    {
        connection.send(request_of(target, id).substr(0, 20));
    }
    raw_caller connection;
    std::string target;
    std::string id;
    milliseconds sends_at; ///< after the signal
    bool is_sent = false;
};

// Guards against requests that arrive late in a planned stop, are passed on, and are cut at its
// bound without an answer or with one that does not allow to repeat them.
TEST_F(a_stopping_entry_daemon, passes_on_no_late_request_that_it_can_not_answer)
{
    constexpr milliseconds answer_time{1500};
    start(67, 1);
    for (auto& each : runners) {
        each->answer_time = answer_time;
    }
    for (const auto* target : {"/safe/x", "/once/x"}) { // the daemon has seen how long they take
        raw_caller first{fleet->entries()[0]};
        first.send(request_of(target, "first"));
        ASSERT_TRUE(first.wait_for("HTTP/1.1 200"));
    }
    std::vector<std::unique_ptr<slow_sender>> senders;
    for (const int after : {500, 2500, 3400, 4500, 5600, 6000, 6500, 7000}) {
        for (const auto* kind : {"safe", "once"}) {
            senders.push_back(std::make_unique<slow_sender>(fleet->entries()[0], kind, after));
        }
    }
    pass_time(milliseconds{300});
    const auto signal = steady_now();
    entry(0).signal(SIGTERM);
    ASSERT_TRUE(wait_until([&] {
        for (auto& it : senders) {
            if (!it->is_sent && steady_now() - signal >= it->sends_at) {
                it->is_sent = true;
                it->connection.send(request_of(it->target, it->id).substr(20));
            }
        }
        return !entry(0).is_running();
    }));
    for (auto& it : senders) {
        SCOPED_TRACE(it->id);
        it->connection.wait_closed();
        const auto& answer = it->connection.received();
        const bool has_run = std::any_of(runners.begin(), runners.end(), [&](const auto& runner) {
            return std::any_of(runner->arrivals.begin(), runner->arrivals.end(),
                               [&](const auto& arrival) { return arrival.request == it->id; });
        });
        if (it->sends_at < milliseconds{3000}) {
            EXPECT_EQ(status_of(answer), 200) << "it came while connections were accepted";
        }
        else if (has_run) {
            EXPECT_EQ(status_of(answer), 200) << "it was passed on";
        }
        else {
            EXPECT_EQ(status_of(answer), 503);
            EXPECT_NE(answer.find("Retry-After"), std::string::npos);
        }
    }
}

TEST_F(a_stopping_entry_daemon, loses_no_request_beside_reloads_and_changes)
{
    constexpr int rounds = 2;
    // The daemon accepts connections for three seconds after the signal.
    constexpr milliseconds accepting{2900};
    // A connection that the daemon does not accept or read ends at once.
    constexpr milliseconds unread{100};
    start(66, 2);
    for (auto& each : runners) {
        each->answer_time = milliseconds{40};
    }
    open_loop_callers callers{
        fleet->entries(), 200, "kept", [](std::size_t n) {
            return open_loop_callers::request{"POST", n % 2 == 0 ? "/safe/x" : "/once/x", "why"};
        }};
    std::size_t checked = 0;
    for (int round = 0; round < rounds; ++round) {
        EXPECT_TRUE(fleet->put(document_of(350)));
        entry(0).signal(SIGHUP);
        entry(1).signal(SIGHUP);
        EXPECT_TRUE(fleet->put(document_of(round)));
        const auto stop = steady_now();
        entry(0).signal(SIGTERM);
        for (int n = 0; n < 6; ++n) {
            entry(n % 2).signal(SIGHUP);
            EXPECT_TRUE(fleet->put(document_of(n % 2 == 0 ? 350 : n)));
            pass_time(milliseconds{500});
        }
        ASSERT_TRUE(wait_until([&] { return !entry(0).is_running(); }));
        fleet->start(fleet_processes::control_count, false);
        ASSERT_TRUE(fleet->wait_serving("/safe/x"));
        pass_time(milliseconds{500});
        int not_read = 0;
        for (; checked < callers.results.size(); ++checked) {
            const auto& it = callers.results[checked];
            const bool is_down = it.entry == 0 && it.sent >= stop + accepting;
            if (it.status == 0 && is_down && it.took < unread) {
                ++not_read;
                continue;
            }
            EXPECT_NE(it.status, 0) << it.id << " sent " << to_ms(it.sent - stop)
                                    << " ms after the signal, ended after " << to_ms(it.took);
        }
        fmt::print("{} requests in all, {} in this round not read by a daemon that was down\n",
                   checked, not_read);
    }
    callers.stop();
    pass_time(milliseconds{300});
}

} // namespace
} // namespace cedarpoint

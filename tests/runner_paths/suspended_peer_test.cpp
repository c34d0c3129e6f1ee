// Requests that go through another entry daemon, whose process stands still for about a second.

#include "daemon/site.h"
#include "io/clock.h"
#include "runner_paths/cuttable_fleet.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <string>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::cuttable_fleet;
using testing_support::fleet_processes;
using testing_support::open_loop_callers;
using testing_support::pass_time;
using testing_support::path_cut;
using testing_support::wait_until;

constexpr int entry_daemons = 3;
/// A silence that is no sign of a fault.
constexpr milliseconds silence{1200};

struct kind {
    const char* name;
    const char* target;
    int net; ///< loopback net of the test, since tests run in parallel
};

/// A fleet whose first entry daemon is cut off from all runners.
class a_request_through_a_suspended_daemon : public testing::TestWithParam<kind>,
                                             protected cuttable_fleet {
protected:
    a_request_through_a_suspended_daemon()
        : cuttable_fleet{{.net = GetParam().net,
                          .log_name = fmt::format("suspended-peer-{}", GetParam().name),
                          .entry_daemons = entry_daemons}}
    {
    }

    void SetUp() override
    {
        ASSERT_TRUE(start());
        pass_time(milliseconds{500});
        paths[0]->cut({path_cut::existing_t::stall, path_cut::fresh_t::hang});
        ASSERT_TRUE(wait_until([this] {
            return call(fleet.entries()[0], "POST", "/safe/x",
                        "X-Cedarpoint-Request-Id: 0-q\r\nX-Cedarpoint-Deadline-Ms: 2500\r\n", "b")
                       .head.status == 200;
        }));
        for (const auto& runner : runners) {
            runner->answer_time = milliseconds{100};
            runner->event_gap = milliseconds{50};
        }
    }
    std::unique_ptr<open_loop_callers> start_callers()
    {
        const std::string target = GetParam().target;
        return std::make_unique<open_loop_callers>(
            std::vector{fleet.entries()[0]}, 40, "c", [target](std::size_t n) {
                return open_loop_callers::request{"POST", target, fmt::format("body {}", n),
                                                  target.starts_with("/ask") ? "small" : "",
                                                  n % 2 == 0};
            });
    }
};

INSTANTIATE_TEST_SUITE_P(kinds, a_request_through_a_suspended_daemon,
                         testing::Values(kind{"streams", "/ask/x", 70},
                                         kind{"safe_requests", "/safe/x", 71},
                                         kind{"unsafe_requests", "/once/x", 72}),
                         [](const auto& info) { return info.param.name; });

// Guards against losing the requests that a daemon carries for another one while it stands still.
TEST_P(a_request_through_a_suspended_daemon, is_served)
{
    auto callers = start_callers();
    for (int round = 0; round < 4; ++round) {
        const auto& peer = fleet.at(fleet_processes::control_count + 1 + round % 2);
        peer.signal(SIGSTOP);
        pass_time(silence);
        peer.signal(SIGCONT);
        pass_time(milliseconds{800});
    }
    callers->stop();
    pass_time(seconds{3});
    for (const auto& it : callers->results) {
        EXPECT_EQ(it.status, 200) << it.id << " after " << to_ms(it.took) << " ms, " << it.text;
    }
    EXPECT_GE(callers->results.size(), 300U);
    expect_at_most_once(*callers);
}

} // namespace
} // namespace cedarpoint

// Bytes that are no text in each string that a runner, an operator or a caller sends, to the
// processes of a fleet. A message between daemons can hold no such string.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/platform_runner.h"
#include "io/clock.h"
#include "support/fleet_processes.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::complete_heartbeat;
using testing_support::fleet_processes;
using testing_support::pass_time;
using testing_support::platform_runner;
using testing_support::wait_until;

const std::string no_text = "i-\xff\xfe";
constexpr int bad_request = 400;
/// From the acknowledgement of a configuration until all entry daemons apply it.
constexpr duration apply_time = seconds{2};
/// After this time without a readable report a leader sends an entry daemon no more changes.
constexpr duration follower_timeout = milliseconds{2500};

std::string document(int version, const std::string& service)
{
    return fmt::format(R"({{"version":{},
        "routes":[{{"name":"lookup","host":"h.example","pathPrefix":"/safe/","kind":"safe",
                    "timeoutMs":2000,"service":"{}","maxAttempts":1}},
                  {{"name":"ask","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
                    "timeoutMs":2000,"service":"pool","maxAttempts":1}}],
        "services":[{{"name":"old-shop"}},{{"name":"new-shop"}},
                    {{"name":"pool","engine":{{"slots":4,"loadsPerS":100,"loads_at_once":50,
                      "formMs":10,"models":[{{"name":"small","size":1,"share":1,"loadS":0.5,
                      "warmS":0.1}}]}}}}]}})",
                       version, service);
}

class bytes_that_are_no_text : public testing::Test {
protected:
    /// `net`: see fleet_processes::options.
    explicit bytes_that_are_no_text(int net)
        : fleet{{.net = net, .entry_daemons = 2, .log_name = fmt::format("no-text-{}", net)}}
    {
    }
    void SetUp() override
    {
        fleet.start_all();
        ASSERT_TRUE(fleet.put(document(1, "old-shop")));
        ASSERT_TRUE(fleet.wait_serving("/safe/x"));
        ASSERT_TRUE(wait_until([&] { return engine.is_open(); }));
    }

    /// Sends a call to the leading control daemon and returns the status of its answer.
    [[nodiscard]] int post_to_leader(const std::string& target, const std::string& body) const
    {
        const auto leader = fleet.leader();
        return leader ? call(fleet.controls().at(*leader), "POST", target, "", body).head.status
                      : 0;
    }

    /// Expects that the fleet still has a leader and that all entry daemons take a change in time.
    void expect_change_is_applied()
    {
        EXPECT_TRUE(fleet.leader()) << fleet.describe_controls();
        const int served_before = new_shop.served();
        ASSERT_TRUE(fleet.put(document(++version, "new-shop")));
        pass_time(apply_time);
        for (const auto& entry : fleet.entries()) {
            EXPECT_EQ(
                call(entry, "GET", "/safe/x", "X-Cedarpoint-Request-Id: r\r\n", "").head.status,
                200);
        }
        EXPECT_EQ(new_shop.served() - served_before, static_cast<int>(fleet.entries().size()))
            << "an entry daemon applies an older configuration";
        for (int index = 0; index < fleet.count(); ++index) {
            EXPECT_TRUE(fleet.at(index).is_running()) << "daemon " << index << " has ended";
        }
    }

    fleet_processes fleet;
    platform_runner old_shop{"s-old", "old-shop", fleet.controls()};
    platform_runner new_shop{"s-new", "new-shop", fleet.controls()};
    platform_runner engine{"e-1", "pool", fleet.controls()};
    int version = 1;
};

class calls_with_bytes_that_are_no_text : public bytes_that_are_no_text {
protected:
    calls_with_bytes_that_are_no_text() : bytes_that_are_no_text{50} {}
};

// Guards against updates that no entry daemon can read, and against a leader that ends by itself.
TEST_F(calls_with_bytes_that_are_no_text, are_refused_and_stop_nothing)
{
    const auto runner = "/cedarpoint/instances/" + no_text;
    for (const auto* service : {"old-shop", "pool"}) {
        EXPECT_EQ(post_to_leader(runner + "/heartbeat", complete_heartbeat(service)), bad_request);
        pass_time(seconds{1});
        expect_change_is_applied();
    }
    EXPECT_EQ(post_to_leader("/cedarpoint/instances//heartbeat", complete_heartbeat("pool")),
              bad_request)
        << "no id at all";
    EXPECT_EQ(post_to_leader(runner + "/deregister", ""), bad_request);
    EXPECT_EQ(post_to_leader("/cedarpoint/quarantine/part/" + no_text + "/ab/lift", ""), 404);
    EXPECT_EQ(post_to_leader("/cedarpoint/config/put", R"({"version":"\xff)" + no_text + "\"}"),
              bad_request);
    EXPECT_EQ(post_to_leader("/cedarpoint/instances/e-2/heartbeat", complete_heartbeat(no_text)),
              bad_request);
    expect_change_is_applied();
}

class headers_with_bytes_that_are_no_text : public bytes_that_are_no_text {
protected:
    headers_with_bytes_that_are_no_text() : bytes_that_are_no_text{51} {}
};

// Guards against reports of an entry daemon that no control daemon can read.
TEST_F(headers_with_bytes_that_are_no_text, stop_neither_reports_nor_changes)
{
    for (const auto& entry : fleet.entries()) {
        const auto with_model =
            fmt::format("X-Cedarpoint-Model: {0}\r\nX-Cedarpoint-Request-Id: {0}\r\n"
                        "X-Cedarpoint-Deadline-Ms: 300\r\n",
                        no_text);
        call(entry, "POST", "/ask/x", with_model, "why");
        const auto with_parts = fmt::format("X-Cedarpoint-Request-Id: {0}\r\n"
                                            "X-Cedarpoint-Prompt-Prefix: {0}:1,ab:2\r\n",
                                            no_text);
        const auto plain = call(entry, "GET", "/safe/x", with_parts, "");
        EXPECT_EQ(plain.head.status, 200);
        EXPECT_EQ(plain.head.fields.get("X-Cedarpoint-Request-Id"), no_text)
            << "the caller gets its id back as it sent it";
    }
    pass_time(follower_timeout);
    expect_change_is_applied();
}

} // namespace
} // namespace cedarpoint

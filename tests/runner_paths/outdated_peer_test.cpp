// Requests that one entry daemon sends through another one whose configuration is older.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/platform_runner.h"
#include "io/clock.h"
#include "support/fleet_processes.h"

#include <QTimer>

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::fleet_processes;
using testing_support::platform_runner;
using testing_support::wait_until;

std::string document(int version, const std::string& service)
{
    return fmt::format(R"({{"version":{},
        "routes":[{{"name":"lookup","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
                    "timeoutMs":2000,"service":"{}","maxAttempts":1}}],
        "services":[{{"name":"old-shop"}},{{"name":"new-shop"}}]}})",
                       version, service);
}

/// An entry daemon with version 1. The test speaks as another daemon that has admitted a request by
/// version 2.
class a_daemon_with_an_older_configuration : public testing::Test {
protected:
    /// `net`: see fleet_processes::options.
    explicit a_daemon_with_an_older_configuration(int net)
        : fleet{{.net = net, .entry_daemons = 1, .log_name = fmt::format("outdated-{}", net)}}
    {
    }
    void SetUp() override
    {
        fleet.start_all();
        ASSERT_TRUE(fleet.put(document(1, "old-shop")));
        ASSERT_TRUE(fleet.wait_serving("/once/x"));
    }
    [[nodiscard]] testing_support::http_answer send(const endpoint& to, int version) const
    {
        return call(to, "POST", "/once/x",
                    fmt::format("X-Cedarpoint-Request-Id: r\r\nX-Cedarpoint-Deadline-Ms: 2000\r\n"
                                "Cedarpoint-Forward-Sender: another\r\n"
                                "Cedarpoint-Forward-Version: {}\r\n",
                                version),
                    "b");
    }

    fleet_processes fleet;
    platform_runner old_shop{"s-old", "old-shop", fleet.controls()};
    platform_runner new_shop{"s-new", "new-shop", fleet.controls()};
};

class an_outdated_daemon : public a_daemon_with_an_older_configuration {
protected:
    an_outdated_daemon() : a_daemon_with_an_older_configuration{52} {}
};

// Guards against requests that run by a configuration older than the one that admitted them.
TEST_F(an_outdated_daemon, sends_a_request_by_a_newer_configuration_to_no_runner)
{
    const int served = old_shop.served();
    const auto begun = steady_now();
    const auto refused = send(fleet.forward_address(0), 2);
    EXPECT_EQ(refused.head.status, 503);
    EXPECT_EQ(refused.head.fields.get("Cedarpoint-Forward-Result"), "outdated");
    EXPECT_LT(steady_now() - begun, seconds{1}) << "long before its deadline";
    EXPECT_EQ(old_shop.served(), served);

    EXPECT_EQ(send(fleet.forward_address(0), 1).head.status, 200) << "by the same version";
    EXPECT_EQ(send(fleet.forward_address(0), 0).head.status, 200) << "by an unknown version";
    EXPECT_EQ(send(fleet.entries()[0], 9).head.status, 200)
        << "a caller's field of that name means nothing";
    EXPECT_EQ(old_shop.served(), served + 3);
}

class a_daemon_that_is_told_late : public a_daemon_with_an_older_configuration {
protected:
    a_daemon_that_is_told_late() : a_daemon_with_an_older_configuration{53} {}
};

// Guards against refusals in the moment in which some daemons have a change and others don't yet.
TEST_F(a_daemon_that_is_told_late, sends_the_request_by_the_configuration_that_arrives_meanwhile)
{
    bool put = false;
    QTimer::singleShot(50, [&] { put = fleet.put(document(2, "new-shop")); });
    const auto answer = send(fleet.forward_address(0), 2);
    EXPECT_TRUE(wait_until([&] { return put; }));
    EXPECT_EQ(answer.head.status, 200);
    EXPECT_EQ(answer.head.fields.get("Cedarpoint-Forward-Runner"), "s-new");
    EXPECT_EQ(new_shop.served(), 1);
}

} // namespace
} // namespace cedarpoint

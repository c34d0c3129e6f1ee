// Guards the operator API that lists quarantined requests and lifts a quarantine.

#include "daemon/site.h"
#include "fleet/fleet_site.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::fleet_site;
using testing_support::platform_runner;
using testing_support::wait_until;

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":2000,"service":"shop","maxAttempts":2}],
    "services":[{"name":"shop"}]})";

class a_quarantined_request : public testing::Test {
protected:
    a_quarantined_request()
    {
        for (int n = 0; n < 5; ++n) {
            runners.push_back(std::make_unique<platform_runner>(
                fmt::format("s-{}", n), "shop", site.controls(), std::uint64_t{1000}));
            runners.back()->crash_trigger = "ends-runners";
            runners.back()->restart_delay = milliseconds{200};
        }
        EXPECT_EQ(site.put(document), 200);
        EXPECT_TRUE(wait_until([&] { return send_request("sound") == 200; }));
    }

    int send_request(const std::string& body)
    {
        return call(site.callers(), "POST", "/safe/x",
                    fmt::format("X-Cedarpoint-Request-Id: r{}\r\n", ++asked), body)
            .head.status;
    }

    /// Returns the answer of the leading control daemon.
    testing_support::http_answer call_leader(const std::string& method, const std::string& target)
    {
        testing_support::http_answer out;
        wait_until([&] {
            const auto leader = site.leader();
            if (!leader) {
                return false;
            }
            out = call(site.controls()[*leader], method, target, "", "");
            return out.head.status != 307 && out.head.status != 503;
        });
        return out;
    }

    nlohmann::json listed()
    {
        return nlohmann::json::parse(call_leader("GET", "/cedarpoint/quarantine").body);
    }

    fleet_site site;
    std::vector<std::unique_ptr<platform_runner>> runners;
    int asked = 0;
};

TEST_F(a_quarantined_request, is_listed_with_its_crashes_and_served_again_once_it_is_lifted)
{
    EXPECT_TRUE(listed().empty());
    ASSERT_TRUE(wait_until([&] { return send_request("ends-runners") == 429; }));
    EXPECT_TRUE(wait_until([&] { return send_request("sound") == 200; }))
        << "once the runners are back";
    const auto list = listed();
    ASSERT_EQ(list.size(), 1U);
    EXPECT_GE(list[0].at("crashes").size(), 3U);
    EXPECT_FALSE(list[0].at("crashes")[0].at("runner").get<std::string>().empty());
    EXPECT_FALSE(list[0].at("crashes")[0].at("daemon").get<std::string>().empty());

    // The operator has repaired the runners.
    for (const auto& runner : runners) {
        runner->crash_trigger.clear();
    }
    const auto fingerprint = list[0].at("fingerprint").get<std::string>();
    const auto lift = "/cedarpoint/quarantine/" + fingerprint + "/lift";
    EXPECT_EQ(call_leader("POST", lift).head.status, 200);
    EXPECT_TRUE(wait_until([&] { return send_request("ends-runners") == 200; }));
    EXPECT_TRUE(listed().empty());
    EXPECT_EQ(call_leader("POST", lift).head.status, 404) << "no longer quarantined";

    // The quarantine stays lifted under the next leader.
    const auto old_leader = site.leader();
    ASSERT_TRUE(old_leader.has_value());
    site.stop_control(*old_leader);
    ASSERT_TRUE(wait_until([&] { return site.leader().has_value(); }));
    EXPECT_EQ(send_request("ends-runners"), 200);
    EXPECT_TRUE(listed().empty());

    // The request crashes runners again, and is counted from zero.
    for (const auto& runner : runners) {
        runner->crash_trigger = "ends-runners";
    }
    EXPECT_TRUE(wait_until([&] { return send_request("ends-runners") == 429; }));
    EXPECT_EQ(listed().size(), 1U);
}

} // namespace
} // namespace cedarpoint

// Two routes whose host names differ in the case of their letters only.

#include "harness.h"

using namespace review;

namespace {

std::string route(const std::string& name, const std::string& host, const std::string& service)
{
    return R"({"name":")" + name + R"(","host":")" + host +
           R"(","pathPrefix":"/stock/","kind":"safe","timeoutMs":4000,"targetLatencyMs":300,)"
           R"("priority":1,"service":")" +
           service + R"(","maxAttempts":2,"public":true})";
}

std::string configuration(std::uint64_t version, const std::string& routes)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"shop","healthPath":"/healthz","maxConnections":110,)"
           R"("protocol":"h1","tls":false},{"name":"bank","healthPath":"/healthz",)"
           R"("maxConnections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000}})";
}

constexpr int requests = 20;

int run(recorder& log)
{
    fleet site{log, 1};
    plain_runner shop{site, log, {"i-shop", "shop"}};
    plain_runner bank{site, log, {"i-bank", "bank"}};
    // Without the disruption the second host has another name, so that the configuration is valid.
    const std::string first = "garden.example";
    const std::string second = has_trouble() ? "Garden.example" : "bank.example";
    const auto put = [&](std::uint64_t version, const std::string& routes) {
        const auto it =
            site.call_control("POST", "/cedarpoint/config/put", configuration(version, routes));
        log.line("put version " + std::to_string(version) + ": " +
                 (it ? std::to_string(it->status()) : "no answer"));
        return it ? it->status() : 0;
    };
    if (put(7, route("r-1", first, "shop")) != 200 || !site.wait_ready(0, milliseconds{10'000}) ||
        !wait_until(milliseconds{5000},
                    [&] { return shop.acknowledged() > 0 && bank.acknowledged() > 0; })) {
        throw can_not_run{"the first configuration is not in force"};
    }
    log.line("version 9 has routes of the hosts " + first + " and " + second);
    const auto status = put(9, route("r-1", first, "shop") + "," + route("r-2", second, "bank"));
    if (status / 100 == 4) {
        return exit_held; // refused as invalid
    }
    if (status != 200) {
        throw can_not_run{"version 9 was not answered"};
    }
    wait(milliseconds{3000}); // longer than `configApplyMs`
    int served = 0;
    int foreign = 0;
    for (int n = 0; n < requests; ++n) {
        const auto& host = n % 2 == 0 ? first : second;
        const std::string expected = n % 2 == 0 ? "answer of shop" : "answer of bank";
        const auto id = "q-" + std::to_string(n);
        const auto to = connection::open(site.callers(0));
        const bool sent =
            to != nullptr && to->write(make_request("GET", "/stock/a",
                                                    {{"Host", host},
                                                     {"X-Cedarpoint-Request-Id", id},
                                                     {"X-Cedarpoint-Deadline-Ms", "4000"}},
                                                    ""));
        const auto answer = sent ? to->read(true, milliseconds{5000}) : std::nullopt;
        log.line(id + ", Host " + host + ": " +
                 (answer ? std::to_string(answer->status()) + " " + answer->body : "no answer"));
        const bool is_served = answer && answer->status() == 200;
        served += is_served ? 1 : 0;
        foreign += is_served && answer->body != expected ? 1 : 0;
    }
    log.line("served " + std::to_string(served) + ", run by the service of the other route " +
             std::to_string(foreign));
    if (served < requests / 2) {
        throw can_not_run{"too few requests were served"};
    }
    return foreign > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

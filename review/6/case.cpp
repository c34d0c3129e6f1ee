// A configuration with a version below the one that is held.

#include "harness.h"

using namespace review;

namespace {

std::string configuration(const std::string& version, const std::string& service)
{
    return R"({"version":)" + version +
           R"(,"routes":[{"name":"r-1","host":"garden.example","pathPrefix":"/stock/",)"
           R"("kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":")" +
           service +
           R"(","maxAttempts":2,"public":true}],)"
           R"("services":[{"name":"shop","healthPath":"/healthz","maxConnections":110,)"
           R"("protocol":"h1","tls":false},{"name":"bank","healthPath":"/healthz",)"
           R"("maxConnections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
           R"("idleTimeoutMs":15000}})";
}

constexpr int requests = 10;

int run(recorder& log)
{
    fleet site{log, 1};
    plain_runner shop{site, log, {"i-shop", "shop"}};
    plain_runner bank{site, log, {"i-bank", "bank"}};
    const auto put = [&](const std::string& version, const std::string& service) {
        const auto it =
            site.call_control("POST", "/cedarpoint/config/put", configuration(version, service));
        log.line("put version " + version + ", service " + service + ": " +
                 (it ? std::to_string(it->status()) : "no answer"));
        return it ? it->status() : 0;
    };
    if (put("7", "shop") != 200 || !site.wait_ready(0, milliseconds{10'000}) ||
        !wait_until(milliseconds{5000},
                    [&] { return shop.acknowledged() > 0 && bank.acknowledged() > 0; })) {
        throw can_not_run{"the first configuration is not in force"};
    }
    if (has_trouble()) {
        put("-1", "shop");
    }
    if (put("9", "bank") != 200) {
        throw can_not_run{"version 9 was not acknowledged"};
    }
    wait(milliseconds{3000}); // longer than `configApplyMs`
    const auto held = site.call_control("GET", "/cedarpoint/config/get", "");
    const bool is_read_back = held && held->body == configuration("9", "bank");
    log.line("read back: " + (held ? std::to_string(held->status()) + " " +
                                         held->body.substr(0, held->body.find(','))
                                   : "no answer"));
    int by_old = 0;
    int by_new = 0;
    for (int n = 0; n < requests; ++n) {
        const auto id = "q-" + std::to_string(n);
        const auto to = connection::open(site.callers(0));
        const bool sent =
            to != nullptr && to->write(make_request("GET", "/stock/a",
                                                    {{"Host", "garden.example"},
                                                     {"X-Cedarpoint-Request-Id", id},
                                                     {"X-Cedarpoint-Deadline-Ms", "4000"}},
                                                    ""));
        const auto answer = sent ? to->read(true, milliseconds{5000}) : std::nullopt;
        log.line(id + ": " +
                 (answer ? std::to_string(answer->status()) + " " + answer->body : "no answer"));
        by_old += answer && answer->body == "answer of shop" ? 1 : 0;
        by_new += answer && answer->body == "answer of bank" ? 1 : 0;
    }
    log.line(std::string{"version 9 is read back: "} + (is_read_back ? "yes" : "no") +
             ", requests run by the service of version 7: " + std::to_string(by_old) +
             ", of version 9: " + std::to_string(by_new));
    if (by_old + by_new < requests / 2) {
        throw can_not_run{"too few requests were served"};
    }
    return !is_read_back || by_old > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

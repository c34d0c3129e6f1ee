// An entry daemon that cannot reach the runners of a service sends requests through another entry
// daemon, which is cut off from control and holds an older configuration. See review/REPORT.md.

#include "../../support/runner.h"

namespace {

using namespace review;

constexpr double config_apply_s = 2.0;    ///< bounds.configApplyMs
constexpr double rollback_slack_s = 0.25; ///< bounds.rollbackSlackMs
constexpr double request_interval_s = 0.1;
constexpr double observed_s = 6.0; ///< time from the cut to the last request

json make_configuration(std::uint64_t version, const std::string& service)
{
    json out{{"version", version},
             {"routes", json::array({{{"name", "r-lookup"},
                                      {"host", "shop.example"},
                                      {"pathPrefix", "/lookup/"},
                                      {"kind", "unsafe"},
                                      {"timeoutMs", 2000},
                                      {"targetLatencyMs", 300},
                                      {"priority", 2},
                                      {"service", service},
                                      {"maxAttempts", 1},
                                      {"public", true}}})},
             {"limits",
              {{"maxHeaderBytes", 16384},
               {"maxBodyBytes", 4194304},
               {"headerTimeoutMs", 3000},
               {"idleTimeoutMs", 15000}}}};
    for (const char* name : {"old-shop", "new-shop"}) {
        out["services"].push_back({{"name", name},
                                   {"healthPath", "/healthz"},
                                   {"maxConnections", 110},
                                   {"protocol", "h1"},
                                   {"tls", false}});
    }
    return out;
}

class stale_peer_case {
public:
    result run()
    {
        if (!site_.can_run()) {
            record("no program at %s, or no free port", fleet::program().c_str());
            return result::not_run;
        }
        site_.start_all();
        plain_runner old_runner{site_, 0, "i-old", "old-shop"};
        plain_runner new_runner{site_, 1, "i-new", "new-shop"};
        if (!site_.put(make_configuration(6, "old-shop"), 20) || !wait_served(0, "old-shop") ||
            !wait_served(1, "old-shop")) {
            record("the fleet did not get ready");
            return result::not_run;
        }
        sleep_ms(4000); // all daemons are in touch by now
        const double cut_at = elapsed();
        if (has_trouble()) {
            cut_off_second_entry();
        }
        if (!site_.put(make_configuration(7, "new-shop"), 5)) {
            record("version 7 was not acknowledged");
            return result::not_run;
        }
        const double acknowledged_at = elapsed();
        record("version 7 is acknowledged: the route leads to new-shop");
        if (!wait_served(0, "new-shop")) {
            record("entry 0 did not take version 7");
            return result::not_run;
        }
        const double seen_at = elapsed();
        record("a runner has seen the effect of version 7 through entry 0");
        sleep_ms(300);
        if (has_trouble()) {
            new_runner.crash();
        }
        return observe(cut_at + observed_s, acknowledged_at, seen_at);
    }

private:
    void cut_off_second_entry()
    {
        const int entry = fleet::control_count + 1;
        for (int n = 0; n < fleet::control_count; ++n) {
            site_.mesh_proxy(n).set_cut_off(site_.at(entry).pid());
        }
        site_.mesh_proxy(entry).set_cut(true);
        record("entry 1 is cut off from control, in both directions");
    }

    /// Returns the service that ran the request; empty if none did.
    std::string ask(int entry)
    {
        const auto id = "request-" + std::to_string(++requests_);
        const auto got = call(site_.callers(entry), "POST", "/lookup/1",
                              "Host: shop.example\r\nX-Cedarpoint-Request-Id: " + id +
                                  "\r\nX-Cedarpoint-Deadline-Ms: 2000\r\n",
                              "item", 2500);
        const auto service = got.status == 200 && got.complete ? got.head.body : "";
        record("client: %s to entry %d gets status %d%s%s", id.c_str(), entry, got.status,
               service.empty() ? "" : ", run by ", service.c_str());
        return service;
    }

    bool wait_served(int entry, const std::string& service)
    {
        const auto limit = elapsed() + 10;
        while (elapsed() < limit) {
            if (ask(entry) == service) {
                return true;
            }
            sleep_ms(50);
        }
        return false;
    }

    result observe(double end, double acknowledged_at, double seen_at)
    {
        int regressed = 0;
        int late = 0;
        int served = 0;
        while (elapsed() < end) {
            const double sent_at = elapsed();
            const auto service = ask(0);
            const bool is_old = service == "old-shop";
            served += service.empty() ? 0 : 1;
            regressed += is_old && sent_at > seen_at + rollback_slack_s ? 1 : 0;
            late += is_old && sent_at > acknowledged_at + config_apply_s ? 1 : 0;
            sleep_ms(static_cast<int>(request_interval_s * 1000));
        }
        record("entry 0: %d requests served; run by the old service past rollbackSlackMs after the "
               "effect: %d; past configApplyMs after the acknowledgement: %d",
               served, regressed, late);
        if (!has_trouble() && served == 0) {
            return result::not_run;
        }
        return regressed > 0 ? result::broken : result::held;
    }

    fleet site_{2, true};
    int requests_ = 0;
};

} // namespace

int main()
{
    signal(SIGPIPE, SIG_IGN);
    start_time();
    const auto out = stale_peer_case{}.run();
    record("exit %d", static_cast<int>(out));
    return static_cast<int>(out);
}

#include "runner_paths/cuttable_fleet.h"

#include "cedarpoint/core/http_status.h"
#include "daemon/site.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cedarpoint::testing_support {
namespace {

constexpr int runners_per_group = 3;
constexpr int slots = 26;

const std::string document = R"({"version":1,
    "routes":[{"name":"stream","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
               "timeoutMs":3000,"service":"pool","maxAttempts":2,"resumable":true,
               "targetLatencyMs":300,"targetGapMs":300},
              {"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":3000,"service":"shop","maxAttempts":2},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":3000,"service":"shop","maxAttempts":2}],
    "services":[{"name":"pool","engine":{"slots":26,"loadsPerS":100,"loads_at_once":50,
                 "formMs":10,"models":[{"name":"small","size":3,"share":1,"loadS":0.5,
                 "warmS":0.1}]}},{"name":"shop"}]})";

} // namespace

cuttable_fleet::cuttable_fleet(const options& options)
    : fleet{{.net = options.net,
             .entry_daemons = options.entry_daemons,
             .log_name = options.log_name,
             .failure_domains = options.failure_domains,
             .behind_runner_proxies = true,
             .forwarding_entry_daemons = options.forwarding_entry_daemons}},
      groups_{options.groups}
{
    fleet.start_all();
    for (int n = 0; n < options.groups * runners_per_group; ++n) {
        runners.push_back(
            std::make_unique<platform_runner>(fmt::format("i-{}", n), "pool", fleet.controls()));
    }
    for (int n = 0; n < options.plain_runners; ++n) {
        runners.push_back(
            std::make_unique<platform_runner>(fmt::format("s-{}", n), "shop", fleet.controls()));
    }
    std::vector<endpoint> addresses;
    for (const auto& runner : runners) {
        runner->slots = slots;
        addresses.push_back(runner->address());
    }
    for (int entry = 0; entry < options.entry_daemons; ++entry) {
        paths.push_back(std::make_unique<cuttable_paths>(fleet.runner_proxy_ip(entry), addresses));
    }
}

bool cuttable_fleet::start()
{
    return fleet.put(document) && fleet.wait_serving("/safe/x") &&
           wait_until([this] { return count_open() == groups_; });
}

void cuttable_fleet::set_silent(std::size_t runner, bool silent)
{
    for (const auto& each : paths) {
        each->set_silent(runner, silent);
    }
}

int cuttable_fleet::count_open() const
{
    return static_cast<int>(std::count_if(runners.begin(), runners.end(),
                                          [](const auto& runner) { return runner->is_open(); }));
}

std::map<std::string, int> cuttable_fleet::count_runs() const
{
    std::map<std::string, int> out;
    for (const auto& runner : runners) {
        for (const auto& each : runner->arrivals) {
            ++out[each.request];
        }
    }
    return out;
}

void cuttable_fleet::expect_at_most_once(const open_loop_callers& callers) const
{
    const auto runs = count_runs();
    for (const auto& it : callers.results) {
        const auto found = runs.find(it.id);
        if (!it.target.starts_with("/once") || found == runs.end()) {
            continue;
        }
        EXPECT_LE(found->second, 1) << it.id << " ran more than once";
        const bool is_refused = it.status == http_status::service_unavailable ||
                                it.status == http_status::too_many_requests;
        EXPECT_FALSE(is_refused) << it.id << " was refused but ran";
    }
}

} // namespace cedarpoint::testing_support

#include "soak/streams_of_a_fleet.h"

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "support/environment.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

namespace cedarpoint::testing_support {
namespace {

constexpr int entry_count = 4;
/// Number of routes that only make the configuration large.
constexpr int added_routes = 350;

} // namespace

streams_of_a_fleet::streams_of_a_fleet(const options& options)
    : fleet{{.net = options.net,
             .entry_daemons = entry_count,
             .log_name = options.log_name,
             .retry_ratio = options.retry_ratio}},
      group_size_{options.group_size}, slots_{options.slots}, timeout_{options.timeout}
{
    fleet.start_all();
    for (int n = 0; n < options.runners; ++n) {
        runners.push_back(
            std::make_unique<platform_runner>(fmt::format("i-{}", n), "pool", fleet.controls()));
        runners.back()->slots = options.slots;
        runners.back()->events = options.events;
        runners.back()->event_gap = options.event_gap;
    }
    EXPECT_TRUE(put_next());
    EXPECT_TRUE(wait_until([&] {
        return std::count_if(runners.begin(), runners.end(), [](const auto& each) {
                   return each->is_open();
               }) == options.runners / options.group_size;
    }));
    pass_time(seconds{1});
    callers =
        std::make_unique<open_loop_callers>(fleet.entries(),
                                            static_cast<double>(number_from_environment(
                                                "STREAMS_PER_SECOND", options.streams_per_second)),
                                            "s", [deadline = options.deadline](std::size_t) {
                                                open_loop_callers::request out;
                                                out.method = "POST";
                                                out.target = "/ask/x";
                                                out.model = "small";
                                                out.body = "why";
                                                out.deadline = deadline;
                                                return out;
                                            });
    pass_time(seconds{4});
}

std::string streams_of_a_fleet::document(int version) const
{
    std::string routes;
    for (int n = 0; n < added_routes; ++n) {
        routes += fmt::format(R"({{"name":"r{0}","host":"h.example","pathPrefix":"/r{0}/{1}/",
                                  "kind":"safe","timeoutMs":2000,"service":"pool",
                                  "maxAttempts":1}},)",
                              n, version);
    }
    return fmt::format(R"({{"version":{},
        "routes":[{}{{"name":"stream","host":"h.example","pathPrefix":"/ask/","kind":"streaming",
                    "timeoutMs":{},"service":"pool","maxAttempts":2,"resumable":true,
                    "targetLatencyMs":300,"targetGapMs":300,"public":true}}],
        "services":[{{"name":"pool","engine":{{"slots":{},"loadsPerS":100,"loads_at_once":50,
                      "formMs":10,"models":[{{"name":"small","size":{},"share":1,"loadS":0.5,
                      "warmS":0.1}}]}}}}]}})",
                       version, routes, timeout_.count(), slots_, group_size_);
}

void streams_of_a_fleet::put_invalid() const
{
    if (const auto leader = fleet.leader()) {
        const auto answer = call(fleet.controls().at(static_cast<std::size_t>(*leader)), "POST",
                                 "/cedarpoint/config/put", "", "{}");
        EXPECT_NE(answer.head.status, 200);
    }
}

std::vector<open_loop_callers::result> streams_of_a_fleet::cut_before(instant until) const
{
    std::vector<open_loop_callers::result> out;
    std::copy_if(callers->results.begin(), callers->results.end(), std::back_inserter(out),
                 [&](const auto& it) { return it.status == 0 && it.sent < until; });
    return out;
}

} // namespace cedarpoint::testing_support

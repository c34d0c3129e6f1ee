#include "fleet/versioned_routes.h"

#include "cedarpoint/core/http_status.h"
#include "fleet/fleet_site.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cedarpoint::testing_support {
namespace {

constexpr int route_timeout_ms = 400;

http_answer ask(const endpoint& entry, int version)
{
    return call(entry, "GET", fmt::format("/v{}/x", version),
                "X-Cedarpoint-Request-Id: 0-v\r\nX-Cedarpoint-Deadline-Ms: 300\r\n", "");
}

} // namespace

std::string make_versioned_document(int version)
{
    auto routes = nlohmann::json::array();
    for (int n = 1; n <= version; ++n) {
        routes.push_back({{"name", fmt::format("r{}", n)},
                          {"host", "h.example"},
                          {"pathPrefix", fmt::format("/v{}/", n)},
                          {"kind", "safe"},
                          {"timeoutMs", route_timeout_ms},
                          {"service", "shop"}});
    }
    const nlohmann::json document{
        {"version", version}, {"routes", routes}, {"services", {{{"name", "shop"}}}}};
    return document.dump();
}

int status_by_version(const endpoint& entry, int version)
{
    return ask(entry, version).head.status;
}

bool has_in_force(const endpoint& entry, int version)
{
    // Both answers are 503: an entry daemon without a configuration names another reason.
    const auto answer = ask(entry, version);
    return answer.head.status == http_status::service_unavailable &&
           answer.body.find("no configuration") == std::string::npos;
}

} // namespace cedarpoint::testing_support

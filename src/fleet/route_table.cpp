#include "cedarpoint/fleet/route_table.h"

#include <algorithm>
#include <cctype>

namespace cedarpoint {
namespace {

/// Returns the host name in lower case and without a port. The text after the last colon is taken
/// as the port, also in an IPv6 address that has none.
std::string normalize_host(std::string_view host)
{
    std::string out{
        host.substr(0, host.rfind(':') == std::string_view::npos ? host.size() : host.rfind(':'))};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return out;
}

} // namespace

route_table::route_table(fleet_configuration configuration)
    : configuration_{std::move(configuration)}
{
    for (const auto& route : configuration_.routes) {
        by_host_[normalize_host(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : by_host_) {
        std::sort(routes.begin(), routes.end(), [](const fleet_route* a, const fleet_route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const auto& account : configuration_.accounts) {
        for (const auto& key : account.keys) {
            by_key_.emplace(key, &account);
        }
    }
}

const fleet_route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(normalize_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    for (const auto* route : found->second) {
        if (path.starts_with(route->path_prefix)) {
            return route;
        }
    }
    return nullptr;
}

const fleet_account* route_table::find_account(std::string_view key) const
{
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

const route_target& route_table::choose_target(const fleet_route& route, double draw)
{
    double sum = 0;
    for (const auto& target : route.targets) {
        sum += target.weight;
    }
    double left = draw * sum;
    const route_target* last = &route.targets.front();
    for (const auto& target : route.targets) {
        if (target.weight <= 0) {
            continue;
        }
        last = &target;
        if (left < target.weight) {
            break;
        }
        left -= target.weight;
    }
    return *last;
}

} // namespace cedarpoint

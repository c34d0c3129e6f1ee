#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cedarpoint {

/// A configuration with its lookups; made once, then only read.
class route_table {
public:
    explicit route_table(fleet_configuration configuration);

    /// The route of `host` with the longest prefix that begins `path`; null if there is none.
    [[nodiscard]] const fleet_route* find_route(std::string_view host, std::string_view path) const;
    /// The account that holds `key`; null if none does.
    [[nodiscard]] const fleet_account* find_account(std::string_view key) const;
    /// The target that `draw`, from 0 up to 1, falls on by the route's weights.
    [[nodiscard]] static const route_target& choose_target(const fleet_route& route, double draw);

    [[nodiscard]] const fleet_configuration& configuration() const { return configuration_; }
    [[nodiscard]] std::uint64_t version() const { return configuration_.version; }

private:
    fleet_configuration configuration_;
    /// Host in lower case, then prefixes from the longest to the shortest.
    std::unordered_map<std::string, std::vector<const fleet_route*>> by_host_;
    std::unordered_map<std::string_view, const fleet_account*> by_key_;
};

} // namespace cedarpoint

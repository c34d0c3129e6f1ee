#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cedarpoint {

/// A configuration with lookup tables for its routes and accounts. Immutable.
class route_table {
public:
    explicit route_table(fleet_configuration configuration);

    /// Returns the route of `host` with the longest path prefix that matches `path`; null if there
    /// is none. Host names are compared in lower case and without a port.
    [[nodiscard]] const fleet_route* find_route(std::string_view host, std::string_view path) const;
    /// Returns the account that has `key`; null if there is none.
    [[nodiscard]] const fleet_account* find_account(std::string_view key) const;
    /// Chooses a target in proportion to the route's weights. `draw` is a random number in [0, 1).
    [[nodiscard]] static const route_target& choose_target(const fleet_route& route, double draw);

    [[nodiscard]] const fleet_configuration& configuration() const { return configuration_; }
    [[nodiscard]] std::uint64_t version() const { return configuration_.version; }

private:
    fleet_configuration configuration_;
    /// Routes by normalized host, those with the longest prefixes first.
    std::unordered_map<std::string, std::vector<const fleet_route*>> by_host_;
    std::unordered_map<std::string_view, const fleet_account*> by_key_;
};

} // namespace cedarpoint

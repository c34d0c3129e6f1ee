#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/route_table.h"

#include <optional>
#include <string_view>

namespace cedarpoint {

/// What admission reads of a caller's request.
struct admission_request {
    std::string_view host;
    std::string_view target;              ///< path, with a query if there is one
    std::string_view authorization;       ///< header value; empty if there is none
    std::string_view model;               ///< header value; empty if there is none
    std::optional<milliseconds> patience; ///< how long the caller says that it waits
};

/// Why a request is turned away before any runner is chosen.
enum class admission_refusal { none, no_configuration, no_route, unknown_key };

/// Where an admitted request goes. Points into the route table.
struct admission {
    admission_refusal refusal = admission_refusal::none;
    const fleet_route* route = nullptr; ///< null if it was not found
    const fleet_account* account =
        nullptr; ///< null if no account has the key, or none is asked for
    service_id service;
    model_id model;   ///< empty for a service without an engine
    instant deadline; ///< the route's time limit, or the caller's patience if that is shorter
};

/// Decides whether a request that has come at `now` is admitted. `routes` is null before the first
/// configuration. `draw`, from 0 up to 1, splits a route's requests between its services.
[[nodiscard]] admission admit(instant now, const route_table* routes, const admission_request& in,
                              double draw);

/// The priority that a runner is given, 0 first: the account's goes before the route's.
[[nodiscard]] int engine_priority(const fleet_route& route, const fleet_account* account);

} // namespace cedarpoint

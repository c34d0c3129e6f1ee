#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/route_table.h"

#include <optional>
#include <string_view>

namespace cedarpoint {

/// The parts of a caller's request that admission depends on.
struct admission_request {
    std::string_view host;
    std::string_view target;                    ///< path and optional query
    std::string_view authorization;             ///< header value; empty if there is none
    std::string_view model;                     ///< header value; empty if there is none
    std::optional<milliseconds> caller_timeout; ///< caller's time limit for the answer
};

/// Why a request is refused before a runner is chosen.
enum class admission_refusal { none, no_configuration, no_route, unknown_key };

/// Result of admission: the refusal, or where the request goes. Points into the route table.
struct admission {
    admission_refusal refusal = admission_refusal::none;
    const fleet_route* route = nullptr; ///< null if no route matches
    const fleet_account* account =
        nullptr; ///< null if no account has the key or no keys are required
    service_id service;
    model_id model;   ///< empty for a service without an engine
    instant deadline; ///< by the route's or the caller's time limit, whichever is shorter
};

/// Decides whether a request that arrived at `now` is admitted. `routes` is null before the first
/// configuration. `draw`, a random number in [0, 1), splits a route's requests between its
/// services.
[[nodiscard]] admission admit(instant now, const route_table* routes, const admission_request& in,
                              double draw);

/// Returns the priority that is passed to the runner; 0 is served first. Requests are ordered by
/// the account's priority, then by the route's.
[[nodiscard]] int engine_priority(const fleet_route& route, const fleet_account* account);

} // namespace cedarpoint

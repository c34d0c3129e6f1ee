#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// How often a request of a route may be run.
enum class repeat_policy {
    any_number,   ///< retried after any failure
    at_most_once, ///< never retried once a runner may have received it
    stream        ///< an event stream; retried only if the route is resumable
};

/// The service that receives a share of a route's requests.
struct route_target {
    service_id service;
    double weight = 0;
};

/// A routing rule: requests with one host and path prefix, and the services that receive them.
struct fleet_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    repeat_policy repeat = repeat_policy::at_most_once;
    milliseconds timeout{0};
    milliseconds target_latency{0}; ///< until the complete answer, or until a stream's first event
    milliseconds target_gap{0}; ///< longest pause between a stream's events that meets the target
    int priority = 0;           ///< 0 is the highest
    int max_attempts = 1;       ///< maximum number of runners that a request may be sent to
    bool is_public = false;     ///< requests need no key
    bool resumable = false;
    std::vector<route_target> targets;
};

/// A model that groups of a service can run.
struct engine_model {
    model_id name;
    std::size_t group_size = 1; ///< runners in a group
    double share = 0;           ///< expected fraction of the service's work
    milliseconds load_time{0};  ///< time to load the weights from the store
    milliseconds warm_time{0};  ///< time to load the weights from the host
};

/// The engine parameters of a service whose runners form groups.
struct engine_spec {
    int slots = 1;               ///< requests that a group serves at a time
    double loads_per_second = 1; ///< loads that may begin per second at the weight store
    int loads_at_once = 1;       ///< concurrent loads beyond this number slow each other down
    std::vector<engine_model> models;
};

/// A service that routes send requests to.
struct fleet_service {
    service_id name;
    std::optional<engine_spec> engine;
};

/// A client account and its keys.
struct fleet_account {
    client_account_id name;
    std::vector<std::string> keys;
    int priority = 0;
};

/// Largest valid version of a configuration: every JSON implementation represents it exactly.
inline constexpr std::uint64_t max_configuration_version = (std::uint64_t{1} << 53) - 1;

/// Returns true if a configuration takes the place of the one in force. A version beyond the
/// largest valid one, which earlier versions of this program have accepted, gives way to any valid
/// one; otherwise no later configuration could ever take effect.
[[nodiscard]] constexpr bool supersedes(std::uint64_t version, std::uint64_t in_force)
{
    return in_force > max_configuration_version ? version <= max_configuration_version
                                                : version > in_force;
}

/// The operators' declaration of routes, services and accounts; accepted or rejected as a whole.
struct fleet_configuration {
    std::uint64_t version = 0;
    std::vector<fleet_route> routes;
    std::vector<fleet_service> services;
    std::vector<fleet_account> accounts;
    bool requires_keys = false;

    /// Returns the service; null if there is none of this name.
    [[nodiscard]] const fleet_service* find_service(const service_id& name) const;
    /// Returns the model; null if the service has no such model or no engine.
    [[nodiscard]] const engine_model* find_model(const service_id& service,
                                                 const model_id& model) const;
};

} // namespace cedarpoint

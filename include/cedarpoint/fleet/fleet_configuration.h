#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// How often one request of a route may run.
enum class repeat_policy {
    any_number,   ///< sent again after any failure
    at_most_once, ///< never sent again once a runner may have taken it
    stream        ///< events; sent again only where the route is resumable
};

/// A share of a route's requests.
struct route_target {
    service_id service;
    double weight = 0;
};

/// Requests under one host and path prefix, and where they go.
struct fleet_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    repeat_policy repeat = repeat_policy::at_most_once;
    milliseconds timeout{0};
    milliseconds target_latency{0}; ///< to the whole answer, or to a stream's first event
    milliseconds target_gap{0};     ///< the longest pause of a stream that is in time
    int priority = 0;               ///< 0 is served first
    int max_attempts = 1;           ///< runners that one request may be sent to
    bool is_public = false;         ///< no key is asked for
    bool resumable = false;
    std::vector<route_target> targets;
};

/// One model that groups of a service can run.
struct engine_model {
    model_id name;
    std::size_t group_size = 1; ///< runners that a replica needs
    double share = 0;           ///< of the service's work, as expected
    milliseconds load_time{0};  ///< weights from the store
    milliseconds warm_time{0};  ///< weights from the host
};

/// The published figures of a service whose runners form groups.
struct engine_spec {
    int slots = 1;               ///< of a group
    double loads_per_second = 1; ///< that the weight store lets begin
    int loads_at_once = 1;       ///< beyond these each takes longer
    std::vector<engine_model> models;
};

/// A service behind routes.
struct fleet_service {
    service_id name;
    std::optional<engine_spec> engine;
};

/// A client account with the keys that it may use.
struct fleet_account {
    client_account_id name;
    std::vector<std::string> keys;
    int priority = 0;
};

/// What operators declare; read whole or refused whole.
struct fleet_configuration {
    std::uint64_t version = 0;
    std::vector<fleet_route> routes;
    std::vector<fleet_service> services;
    std::vector<fleet_account> accounts;
    bool requires_keys = false;

    /// Null if there is no such service.
    [[nodiscard]] const fleet_service* find_service(const service_id& name) const;
    /// Null if the service has no such model, or no engine.
    [[nodiscard]] const engine_model* find_model(const service_id& service,
                                                 const model_id& model) const;
};

} // namespace cedarpoint

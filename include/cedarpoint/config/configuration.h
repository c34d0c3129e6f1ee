#pragma once

#include "cedarpoint/config/fault.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The stages of inference that a replica group runs for a model; `converged` is both.
enum class group_role { converged, prefill, decode };

/// Priority of a request; a smaller value is served first.
enum class priority_class { alarm, normal, bulk };

/// A set of nodes on one fast interconnect; a replica spans nodes of one such set only.
struct fabric_domain_spec {
    fabric_domain_id id;
    failure_domain_id failure_domain;
};

/// One machine.
struct node_spec {
    node_id id;
    fabric_domain_id fabric_domain;
    int accelerators = 0;
};

/// The inference engine process on a node.
struct runner_spec {
    runner_id id;
    node_id node;
    endpoint address;
    bool checks_epoch = true; ///< the engine itself rejects orders with an older epoch
    int slots = 1;            ///< concurrent requests when it is the first runner of a group
};

/// A model with its versions and adapters that can be loaded.
struct model_spec {
    model_id id;
    std::vector<std::string> versions;
    std::vector<std::string> adapters;
};

/// Replicas of one model: `count` groups of `size` nodes each.
struct pool_spec {
    pool_id id;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    failure_domain_id failure_domain;
    int size = 0;
    int count = 0;
    group_role role = group_role::converged;
};

/// One server process of an HTTP service.
struct upstream_spec {
    runner_id id;
    failure_domain_id failure_domain;
    endpoint address;
    int slots = 1;
};

/// An HTTP service other than a model; requests are routed to it by path prefix.
struct service_spec {
    service_id id;
    std::string path_prefix;
    std::vector<upstream_spec> upstreams;
};

/// Routes a model's requests to pools; the first rule that matches applies.
struct route_spec {
    model_id model;
    std::optional<client_account_id> account; ///< unset: applies to every account
    std::vector<pool_id> pools;               ///< in order of preference
};

/// A client account with its scheduling weight and its limits.
struct account_spec {
    client_account_id id;
    std::string key_sha256; ///< SHA-256 of the API key, in lower-case hex
    int weight = 1;
    failure_domain_id home_failure_domain;
    std::vector<priority_class> priorities; ///< those it may request; the first is the default
    int max_in_flight = 0;
    int requests_per_minute = 0; ///< 0: unlimited
};

/// Weights of the costs that placement should minimize. Validated and shown in plans; placement
/// does not use them.
struct objective_weights {
    double group_downtime = 1;
    double stranded_accelerators = 1;
};

/// The content of a declarative file, whether in force or proposed.
struct configuration {
    std::vector<failure_domain_id> failure_domains;
    std::vector<fabric_domain_spec> fabric_domains;
    std::vector<node_spec> nodes;
    std::vector<runner_spec> runners;
    std::vector<model_spec> models;
    std::vector<pool_spec> pools;
    std::vector<service_spec> services;
    std::vector<route_spec> routes;
    std::vector<account_spec> accounts;
    objective_weights objectives;
    revision based_on;
    change_id change;

    /// Parses a declarative file. Returns nothing if it is invalid; `out` then lists every fault.
    static std::optional<configuration> parse(std::string_view text, faults& out);

    [[nodiscard]] const node_spec* find_node(const node_id& id) const;
    [[nodiscard]] const runner_spec* find_runner_on(const node_id& id) const;
    [[nodiscard]] const fabric_domain_spec* find_fabric(const fabric_domain_id& id) const;
    [[nodiscard]] const pool_spec* find_pool(const pool_id& id) const;
    [[nodiscard]] const account_spec* find_account(const client_account_id& id) const;
    [[nodiscard]] failure_domain_id domain_of(const node_spec& node) const;
};

std::string_view name_of(priority_class it);
std::optional<priority_class> parse_priority(std::string_view text);
std::string_view name_of(group_role it);

} // namespace cedarpoint

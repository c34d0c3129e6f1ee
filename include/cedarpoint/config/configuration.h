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

/// What a group of nodes does for a model.
enum class group_role { converged, prefill, decode };

/// Order of service; a smaller value goes first.
enum class priority_class { alarm, normal, bulk };

/// A set of nodes that can form one replica.
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

/// The engine process on a node.
struct runner_spec {
    runner_id id;
    node_id node;
    endpoint address;
    bool checks_epoch = true; ///< refuses orders of an older epoch by itself
    int slots = 1;            ///< requests that it serves at once as a group's first runner
};

/// Loadable weights.
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

/// One process of a plain service.
struct upstream_spec {
    runner_id id;
    failure_domain_id failure_domain;
    endpoint address;
    int slots = 1;
};

/// A plain HTTP service that calls are routed to by path.
struct service_spec {
    service_id id;
    std::string path_prefix;
    std::vector<upstream_spec> upstreams;
};

/// Sends a model's requests to pools; the first rule that matches wins.
struct route_spec {
    model_id model;
    std::optional<client_account_id> account; ///< none: every account
    std::vector<pool_id> pools;               ///< in order of preference
};

/// A customer, its share and its bounds.
struct account_spec {
    client_account_id id;
    std::string key_sha256; ///< lower-case hex of the secret's digest
    int weight = 1;
    failure_domain_id home_failure_domain;
    std::vector<priority_class> priorities; ///< those it may ask for; the first is its default
    int max_in_flight = 0;
    int requests_per_minute = 0; ///< 0: unlimited
};

/// What placement should avoid, and how much.
struct objective_weights {
    double group_downtime = 1;
    double stranded_accelerators = 1;
};

/// One accepted or proposed declarative file.
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

    /// Reads a declarative file. Empty if anything is wrong; `out` then names every fault.
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

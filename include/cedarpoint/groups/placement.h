#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/groups/group_table.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cedarpoint {

/// The nodes that can be assigned to a group now, by fabric domain.
using free_nodes = std::map<fabric_domain_id, std::vector<node_id>>;

/// A declared group without nodes.
struct placement_need {
    const pool_spec* pool = nullptr;
    group_id group;
};

/// The nodes chosen for a group.
struct placement_choice {
    group_id group;
    std::vector<node_id> nodes;
};

/// The input of a placement strategy.
struct placement_view {
    const configuration& config;
    const group_table& groups;
    free_nodes spare;
    std::vector<placement_need> needs;
};

/// Assigns free nodes to groups. Stateless: the same view gives the same result.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    virtual ~placement_strategy() = default;

    /// Returns one choice for each need that can be met now.
    [[nodiscard]] virtual std::vector<placement_choice> place(const placement_view& view) const = 0;
};

/// Returns a strategy that places groups of the pool with the lowest fraction of formed groups
/// first. It takes nodes from the fabric domain with the fewest free nodes that fits, so that large
/// free blocks remain available for large groups.
std::unique_ptr<placement_strategy> make_best_fit_placement();

} // namespace cedarpoint

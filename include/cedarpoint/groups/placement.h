#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/groups/group_table.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cedarpoint {

/// Nodes of one fabric domain that could join a group now.
using free_nodes = std::map<fabric_domain_id, std::vector<node_id>>;

/// One declared group without nodes.
struct placement_need {
    const pool_spec* pool = nullptr;
    group_id group;
};

/// The nodes chosen for a need.
struct placement_choice {
    group_id group;
    std::vector<node_id> nodes;
};

/// The input of a strategy.
struct placement_view {
    const configuration& config;
    const group_table& groups;
    free_nodes spare;
    std::vector<placement_need> needs;
};

/// Assigns free nodes to groups. Owns nothing and keeps no state: the same view gives the same
/// answer.
class placement_strategy {
public:
    placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;
    virtual ~placement_strategy() = default;

    /// One choice for each need that can be met now; empty if none can.
    [[nodiscard]] virtual std::vector<placement_choice> place(const placement_view& view) const = 0;
};

/// Fills the pool with the fewest serving groups first, from the tightest fabric domain that fits,
/// so that large free blocks stay whole for large groups.
std::unique_ptr<placement_strategy> make_best_fit_placement();

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The states of a group that has a record. A group without a record has no nodes.
enum class group_state {
    loading = 1,  ///< has its nodes; they load weights
    serving = 2,  ///< every node is ready: requests may be sent
    draining = 3, ///< no new requests; those in flight go on
    stopped = 4,  ///< ended on purpose; its nodes can't be assigned yet
    lost = 5,     ///< a node is absent; the others can't be assigned yet
    released = 6  ///< its nodes can be assigned: the record is removed
};

std::string_view name_of(group_state it);
/// Empty for a value that this version does not know.
std::optional<group_state> parse_group_state(std::uint32_t value);

/// True if a group may go from one state to the other.
bool is_legal_step(group_state from, group_state to);

/// One group with nodes, as the replicated state holds it.
struct group_record {
    group_id id;
    pool_id pool;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    group_role role = group_role::converged;
    group_state state = group_state::loading;
    epoch assignment;
    std::vector<node_id> nodes; ///< the first node's runner takes the requests
    friend bool operator==(const group_record&, const group_record&) = default;
};

/// The id of a pool's n-th group, counted from 0.
group_id group_of(const pool_id& pool, int n);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The states of a group with a record. A group without a record has no nodes.
enum class group_state {
    loading = 1,  ///< nodes are assigned and load the weights
    serving = 2,  ///< all nodes are ready: requests may be sent
    draining = 3, ///< no new requests; those in flight continue
    stopped = 4,  ///< ended as intended; its nodes can't be assigned yet
    lost = 5,     ///< a member is missing; its nodes can't be assigned yet
    released = 6  ///< its nodes can be assigned; the record is removed
};

std::string_view name_of(group_state it);
/// Returns empty for a value that this version does not know.
std::optional<group_state> parse_group_state(std::uint32_t value);

/// Returns true if a group may change from state `from` to state `to`.
bool is_legal_step(group_state from, group_state to);

/// The record of a group with nodes in the replicated state.
struct group_record {
    group_id id;
    pool_id pool;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    group_role role = group_role::converged;
    group_state state = group_state::loading;
    epoch assignment;
    std::vector<node_id> nodes; ///< the runner of the first node receives the requests
    friend bool operator==(const group_record&, const group_record&) = default;
};

/// Returns the id of a pool's n-th group, counted from 0.
group_id group_of(const pool_id& pool, int n);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The life of a group. One without a record is planned: it has no nodes yet.
enum class group_state {
    loading = 1,  ///< has its nodes; they load weights
    serving = 2,  ///< every node is ready: requests may be sent
    draining = 3, ///< no new requests; those in flight go on
    stopped = 4,  ///< ended on purpose; its nodes are not free yet
    lost = 5,     ///< a node went; the others are not free yet
    released = 6  ///< its nodes are free: the record goes
};

std::string_view name_of(group_state it);
std::optional<group_state> parse_group_state(std::uint32_t value);

/// True if a group may go from one state to the other.
bool is_legal_step(group_state from, group_state to);

/// One group that has nodes, as the replicated state holds it.
struct group_record {
    group_id id;
    pool_id pool;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    group_role role = group_role::converged;
    group_state state = group_state::loading;
    epoch assignment;
    std::vector<node_id> nodes; ///< the first one's runner takes the requests
    friend bool operator==(const group_record&, const group_record&) = default;
};

/// The id of a pool's n-th group.
group_id group_of(const pool_id& pool, int n);

} // namespace cedarpoint

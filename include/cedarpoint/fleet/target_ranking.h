#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_target.h"

namespace cedarpoint {

// Rules that rank the targets of a request. They are pure functions of what this daemon knows about
// a target. Costs are in requests: a target of normal speed with two requests in flight and no
// other cost has a cost of 3, the new request included. The target with the lowest cost is chosen.
// Of these rules only `is_full` excludes a target.

/// Returns true if the requests of all daemons fill the target's slots and a short queue. Requests
/// of other daemons are reported with a delay. They limit the load, but are no part of the cost:
/// otherwise all daemons would choose the same target at the same time.
[[nodiscard]] bool is_full(const fleet_target& target, const target_stats& stats);

/// Returns the number of this daemon's requests at the target, including the new one, multiplied by
/// the target's slowness.
[[nodiscard]] double load_cost(const fleet_target& target, const target_stats& stats);

/// Returns the cost of a target in another failure domain; 0 in the own one.
[[nodiscard]] double distance_cost(const fleet_target& target, const failure_domain_id& own_domain);

/// Returns a high cost while the target backs off after a failure, while this daemon's requests to
/// it stall, and while the leader suspects it; otherwise 0.
[[nodiscard]] double avoidance_cost(instant now, const fleet_target& target,
                                    const target_stats& stats);

/// Returns the cost of a path from this daemon on which connections fail.
[[nodiscard]] double path_cost(bool is_failing);

/// Returns the sum of the three costs and a small random part. `draw`, a random number in [0, 1),
/// decides between targets of about the same cost, so that daemons do not all choose the same one.
[[nodiscard]] double target_cost(instant now, const fleet_target& target, const target_stats& stats,
                                 const failure_domain_id& own_domain, double draw);

/// Returns how long a target backs off after `failures` consecutive failures; at least one.
[[nodiscard]] duration backoff_after(int failures);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_target.h"

namespace cedarpoint {

// The rules that rank targets for a request. Pure: what is known of a target goes in, a cost comes
// out, in requests: a target with a cost of 3 is as good as one with three requests in flight and
// nothing else against it. The lowest cost is chosen. No rule excludes a target but `is_full`.

/// True if the target has as many requests from all daemons as it may: its slots and a short queue.
/// Others' requests are known late, so they only bound the load. Ranked by them, all daemons would
/// choose the same target at the same time.
[[nodiscard]] bool is_full(const fleet_target& target, const target_stats& stats);

/// This daemon's requests there with the one to come; each counts as many times as the target is
/// slower than its peers.
[[nodiscard]] double load_cost(const fleet_target& target, const target_stats& stats);

/// What the way to another failure domain adds.
[[nodiscard]] double distance_cost(const fleet_target& target, const failure_domain_id& own_domain);

/// Puts a target behind all others while it backs off after a failure, while its streams to this
/// daemon stall, and while the leader suspects it.
[[nodiscard]] double avoidance_cost(instant now, const fleet_target& target,
                                    const target_stats& stats);

/// The sum of the three. `draw`, from 0 up to 1, decides between targets that are about equal, so
/// that daemons don't choose the same one.
[[nodiscard]] double target_cost(instant now, const fleet_target& target, const target_stats& stats,
                                 const failure_domain_id& own_domain, double draw);

/// How long a target backs off after this many failures in a row; at least one.
[[nodiscard]] duration backoff_after(int failures);

} // namespace cedarpoint

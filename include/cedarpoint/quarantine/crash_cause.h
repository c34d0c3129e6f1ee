#pragma once

#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <set>

namespace cedarpoint {

/// Returns the requests to quarantine in addition to those in `known`. A request qualifies if
/// enough runners have crashed one after the other while running it, and no other request that was
/// in flight during one of these crashes has been in flight during at least as many. If there is
/// such a request, the decision waits for a further crash that only one of the two was involved in.
/// After several more crashes that involve both, the request with the shortest total time in flight
/// is chosen, and its crashes no longer count against the other.
[[nodiscard]] std::set<request_fingerprint>
find_crash_causes(const crash_ledger& ledger, const std::set<request_fingerprint>& known);

} // namespace cedarpoint

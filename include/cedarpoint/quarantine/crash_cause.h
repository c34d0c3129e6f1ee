#pragma once

#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <set>

namespace cedarpoint {

/// The requests that are to be quarantined beside those in `known`: enough runners have ended under
/// each, one after the other, and no other request that was in flight at one of these ends has been
/// at as many. While one has, the next end tells which of them it was; after some more, the one
/// that was in flight for the shortest time is taken, and explains the ends to the other.
[[nodiscard]] std::set<request_fingerprint>
find_crash_causes(const crash_ledger& ledger, const std::set<request_fingerprint>& known);

} // namespace cedarpoint

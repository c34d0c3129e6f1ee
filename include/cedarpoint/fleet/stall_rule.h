#pragma once

#include "cedarpoint/core/time.h"

#include <algorithm>

namespace cedarpoint {

// Decides when a stream of events counts as stalled at its runner. A stalled attempt is hedged by a
// second one at another runner, if its route allows it and a runner is available, and goes on
// beside it: a sound runner may be silent for longer than these limits. Shorter limits cost more
// attempts.

/// Minimum time limit for the first event.
inline constexpr milliseconds min_first_event_limit{700};
/// Minimum time limit between two events.
inline constexpr milliseconds min_event_pause_limit{400};
/// Ratio of a time limit to the route's target for the same time.
inline constexpr int limit_to_target_ratio = 2;

/// Returns how long to wait for the first event after the request was sent. `target_latency` is the
/// route's target for this time.
[[nodiscard]] constexpr milliseconds first_event_timeout(milliseconds target_latency)
{
    return std::max(min_first_event_limit, limit_to_target_ratio * target_latency);
}

/// Returns how long to wait for the next event. `target_gap` is the route's target for this time.
[[nodiscard]] constexpr milliseconds event_gap_timeout(milliseconds target_gap)
{
    return std::max(min_event_pause_limit, limit_to_target_ratio * target_gap);
}

} // namespace cedarpoint

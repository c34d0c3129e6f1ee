#pragma once

#include "cedarpoint/core/time.h"

#include <algorithm>

namespace cedarpoint {

// When a stream of events counts as stalled at its runner. A stalled stream goes on at another
// runner if its route allows that and one is available; otherwise it is waited for, because a late
// answer is better than none. Moving streams sooner loses requests, since a stream that finds no
// second place is broken off.

/// Shortest time until the first event.
inline constexpr milliseconds shortest_first_event_wait{700};
/// Shortest pause between two events.
inline constexpr milliseconds shortest_event_pause{400};
/// Times the route's aim that a wait may last.
inline constexpr int aims_until_stalled = 2;

/// How long to wait for the first event after the request was sent; `target_latency` is the route's
/// aim for it.
[[nodiscard]] constexpr milliseconds first_event_limit(milliseconds target_latency)
{
    return std::max(shortest_first_event_wait, aims_until_stalled * target_latency);
}

/// How long to wait for the next event; `target_gap` is the route's aim for a pause.
[[nodiscard]] constexpr milliseconds event_pause_limit(milliseconds target_gap)
{
    return std::max(shortest_event_pause, aims_until_stalled * target_gap);
}

} // namespace cedarpoint

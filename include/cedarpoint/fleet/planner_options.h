#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Intervals and time limits of the group planner. `heartbeat` and `settle` come from the settings.
struct planner_options {
    duration heartbeat = milliseconds{1200}; ///< interval between two heartbeats of a runner
    /// A new leader collects heartbeats for this long before it forms groups.
    duration settle = milliseconds{1700};
    /// An unanswered order is sent again after this time.
    duration order_retry = milliseconds{500};
    /// Minimum interval between two probes of a runner; a probe times out after 300 ms.
    duration probe_interval = milliseconds{400};
    /// A retiring group is released after this time even if requests are in flight.
    duration retire_limit = milliseconds{8000};
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Times that the group planner decides by. `heartbeat` and `settle` come from the settings; the
/// others have their origin beside them.
struct planner_options {
    duration heartbeat = milliseconds{1200}; ///< between two heartbeats of a runner
    duration settle = milliseconds{1700};    ///< a new leader listens this long before it decides
    /// An order without an answer is sent again after this.
    duration order_retry = milliseconds{500};
    /// Shortest time between two probes of a runner; a probe times out after 300 ms.
    duration probe_interval = milliseconds{400};
    /// A group that retires is released after this, whatever is in flight.
    duration retire_limit = milliseconds{8000};
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <optional>

namespace cedarpoint {

/// The times of an entry daemon's planned stop.
struct planned_stop {
    instant accepts_until; ///< until then, callers may not know yet that the daemon stops
    instant answers_due;   ///< requests that still run are ended then
};

/// Returns whether a request that has arrived may be sent to a runner. `longest_answer` is the
/// longest time that a recent answer of its route took, if there was one. A request that arrives
/// after `accepts_until` must not be ended at `answers_due`: it is sent only if it may be repeated
/// and twice that time is left. Nobody knows how long a stream takes.
[[nodiscard]] bool may_begin(const planned_stop& stop, instant now, repeat_policy repeat,
                             std::optional<duration> longest_answer);

} // namespace cedarpoint

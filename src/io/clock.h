#pragma once

#include "cedarpoint/core/time.h"

#include <cstdint>

namespace cedarpoint {

/// Returns the monotonic time. This clock also runs while the process is stopped or the machine is
/// suspended.
instant steady_now();
/// Returns the time of the clock that library timers use. Unlike `steady_now`, this clock stops
/// while the machine is suspended.
instant timer_now();
/// Returns the wall time in milliseconds since 1970. Used for the age of claims, which must be
/// comparable between daemons and across restarts, and for the times of recorded decisions; never
/// for leases.
std::uint64_t wall_ms();

} // namespace cedarpoint

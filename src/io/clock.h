#pragma once

#include "cedarpoint/core/time.h"

#include <cstdint>

namespace cedarpoint {

/// The machine's monotonic clock, which also counts while the process is stopped or the machine is
/// suspended.
instant steady_now();
/// The clock by which timers of libraries go. Unlike `steady_now` it does not count the time for
/// which the machine was suspended.
instant timer_now();
/// Wall time since 1970; for windows that outlive a machine, never for leases.
std::uint64_t wall_ms();

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

#include <cstdint>

namespace cedarpoint {

/// The machine's monotonic clock, which also counts while a process is stopped.
instant steady_now();
/// Wall time since 1970; for windows that outlive a machine, never for leases.
std::uint64_t wall_ms();

} // namespace cedarpoint

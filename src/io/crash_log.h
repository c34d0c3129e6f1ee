#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/quarantine/crash_observation.h"

namespace cedarpoint {

/// Writes one log line for each request that was in flight at a runner whose process ended.
void log_runner_end(const runner_id& runner, const crash_histories& in_flight);

} // namespace cedarpoint

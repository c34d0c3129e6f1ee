#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/quarantine/crash_observation.h"

namespace cedarpoint {

/// One line for each request that was in flight at a runner that has ended.
void log_runner_end(const runner_id& runner, const crash_histories& in_flight);

} // namespace cedarpoint

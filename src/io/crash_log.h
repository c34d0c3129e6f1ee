#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/quarantine/crash_observation.h"

namespace cedarpoint {

/// Returns the key under which log lines name a cause.
[[nodiscard]] const char* log_key_of(const crash_cause& cause);

/// Writes one log line for each request that was in flight at a runner whose process ended. The
/// line of the failed attempt lists the shared parts of its prompt.
void log_runner_end(const runner_id& runner, const crash_histories& in_flight);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/rate_limits/rate_limit.h"

#include <string>

namespace cedarpoint {

/// Writes that a runner's rate limit has changed, or that it names something that is none.
/// `request`: the id of the request whose answer said so.
void log_rate_limit(const runner_id& runner, const rate_limit_reading& in,
                    const std::string& request);

} // namespace cedarpoint

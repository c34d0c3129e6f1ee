#pragma once

// What entry daemons and the leader tell each other of rate limits.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/rate_limits/rate_limit.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cedarpoint {

/// What an entry daemon knows of the rate limit of one runner, by answers that it had itself.
struct rate_limit_observation {
    std::optional<request_rate> rate;          ///< empty if it had no answer that names one
    milliseconds named_age{0};                 ///< since the latest answer that names it
    std::optional<milliseconds> not_named_age; ///< see `rate_limit_record::not_named_at`
    // Since the previous report:
    std::uint32_t wanted = 0; ///< requests that could have gone there
    std::uint32_t used = 0;   ///< permits of the leader that were taken for a request
    std::uint32_t unused = 0; ///< permits of the leader that have expired
};

using rate_limit_sightings = std::map<runner_id, rate_limit_observation>;

/// What the leader tells an entry daemon of one runner's limit.
struct permit_grant {
    request_rate rate;         ///< as the runner named it
    std::uint32_t permits = 0; ///< requests that the daemon may send there
};

} // namespace cedarpoint

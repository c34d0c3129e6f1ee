#pragma once

// Contents of the messages about rate limits between entry daemons and the leader.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/rate_limits/rate_limit.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cedarpoint {

/// An entry daemon's report on the rate limit of one runner, from the answers that it received
/// itself.
struct rate_limit_observation {
    std::optional<request_rate> rate;          ///< empty if no answer has named a limit
    milliseconds named_age{0};                 ///< since the latest answer that names the limit
    std::optional<milliseconds> not_named_age; ///< see `rate_limit_record::not_named_at`
    // Since the previous report:
    std::uint32_t wanted = 0; ///< requests that could have been sent to the runner
    std::uint32_t used = 0;   ///< permits from the leader that were used
    std::uint32_t unused = 0; ///< permits from the leader that expired unused
};

using rate_limit_observations = std::map<runner_id, rate_limit_observation>;

/// The limit of one runner, and the permits that the leader grants to an entry daemon.
struct permit_grant {
    request_rate rate;         ///< for all daemons together, as the runner named it
    std::uint32_t permits = 0; ///< requests that the daemon may send to the runner
};

} // namespace cedarpoint

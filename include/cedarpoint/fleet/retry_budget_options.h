#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Settings of a fleet's retry budget. In any period of length `window` the number of requests sent
/// to a second runner is at most `ratio` of the requests that arrived in it plus `slack`.
struct retry_budget_options {
    double ratio = 0.1;
    milliseconds window{10'000};
    double slack = 10; ///< retries per window for the whole fleet
    /// Fraction of the sum that is used, because the daemons' shares of the traffic are uneven.
    double safety = 0.6;
};

} // namespace cedarpoint

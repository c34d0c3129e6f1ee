#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// The retry budget of a fleet, from the settings: in any `window` at most `ratio` of the requests
/// that came in it, and `slack` more, may be sent to a second runner.
struct retry_budget_options {
    double ratio = 0.1;
    milliseconds window{10'000};
    double slack = 10; ///< retries, of the whole fleet
    /// The part of both that is used, because daemons' shares of the traffic are uneven.
    double safety = 0.6;
};

} // namespace cedarpoint

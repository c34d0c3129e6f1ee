#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <vector>

namespace cedarpoint {

/// A place that a request can be sent to: a serving group's first runner, or a service's process.
struct target {
    runner_id upstream;
    std::optional<group_id> group; ///< none for plain services
    std::optional<pool_id> pool;
    service_id service;
    epoch assignment; ///< runners that check it refuse requests of another one
    endpoint address;
    int slots = 1; ///< requests that it serves at once
    failure_domain_id failure_domain;
    instant valid_until;     ///< end of the grant; no new requests from then on
    int reported_others = 0; ///< requests in flight from other daemons, by the last load report
    bool present = true;
    bool draining = false;
};

/// All places that this daemon knows.
using target_table = std::vector<target>;

} // namespace cedarpoint

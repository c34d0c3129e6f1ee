#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <vector>

namespace cedarpoint {

/// A destination for requests: the first runner of a serving group, or a process of a service.
struct target {
    runner_id upstream;
    std::optional<group_id> group; ///< empty for plain services
    std::optional<pool_id> pool;
    service_id service;
    epoch assignment; ///< runners that check epochs refuse requests with another one
    endpoint address;
    int slots = 1; ///< requests that it can serve concurrently
    failure_domain_id failure_domain;
    instant valid_until;     ///< end of the grant; no new requests are sent from then on
    int reported_others = 0; ///< requests of other daemons in flight, from the last load report
    bool present = true;
    bool draining = false;
};

/// All targets that this daemon knows.
using target_table = std::vector<target>;

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <cstdint>

namespace cedarpoint {

/// A runner that requests can be sent to: a plain one, or the head of a group. As the latest view
/// describes it, so up to some hundred milliseconds old, more while no leader is heard.
struct fleet_target {
    runner_id runner;
    birth life;
    endpoint address;
    service_id service;
    model_id model; ///< of a group; empty for a plain runner
    group_id group; ///< empty for a plain runner
    failure_domain_id failure_domain;
    int slots = 1; ///< requests that it serves at a time
    bool accepting = true;
    bool suspected = false; ///< the leader sees its streams stall
    int slowness = 1;       ///< times slower than its peers
};

/// What this daemon observed of a target by its own requests, up to now.
struct target_stats {
    int in_flight = 0;
    int in_flight_elsewhere = 0; ///< from other entry daemons; up to some 400 ms old
    instant waiting_since;       ///< the latest byte, or the first send after idleness
    instant latest_byte;
    std::uint32_t failed_connects = 0; ///< since the latest byte
    bool refused = false;              ///< a connection was reset since the latest byte
    int failures = 0;                  ///< in a row
    instant backoff_until;
    std::uint32_t waits = 0; ///< pauses or response times not reported to the leader yet
    duration waited{};       ///< their sum
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <cstdint>

namespace cedarpoint {

/// A runner that requests can be sent to: a plain runner or the head of a group. Taken from the
/// latest view, which is up to a few hundred milliseconds old, and older while there is no leader.
struct fleet_target {
    runner_id runner;
    incarnation its_incarnation;
    endpoint address;
    service_id service;
    model_id model; ///< model of the group; empty for a plain runner
    group_id group; ///< empty for a plain runner
    failure_domain_id failure_domain;
    int slots = 1; ///< requests served concurrently
    bool accepting = true;
    bool suspected = false; ///< the leader sees it stall
    int slowness = 1;       ///< factor by which it is slower than its peers
};

/// What this daemon has observed of a target through its own requests.
struct target_stats {
    int in_flight = 0;
    int in_flight_elsewhere = 0; ///< from other entry daemons; up to about 400 ms old
    instant waiting_since;       ///< time of the latest byte, or of the first send after idleness
    instant latest_byte;
    std::uint32_t failed_connects = 0; ///< since the latest byte
    bool refused = false;              ///< a connection was reset since the latest byte
    int failures = 0;                  ///< consecutive
    instant backoff_until;
    std::uint32_t waits = 0; ///< event gaps or response times not yet reported to the leader
    duration waited{};       ///< their sum
};

} // namespace cedarpoint

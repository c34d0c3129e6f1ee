#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/fleet/entry_peers.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/rate_limits/permit_messages.h"

#include <cstdint>
#include <map>
#include <optional>

namespace cedarpoint {

/// Observations of one entry daemon about a runner that it sends requests to.
struct runner_observation {
    int in_flight = 0;                 ///< requests that have not ended
    milliseconds silence{0};           ///< time since the latest byte while requests are in flight
    milliseconds since_byte{0};        ///< time since the latest byte, in any state
    std::uint32_t failed_connects = 0; ///< failed connection attempts since the latest byte
    bool refused = false;              ///< a connection was reset since the latest byte
    std::uint32_t waits = 0;           ///< event gaps or response times since the previous report
    duration waited{};                 ///< sum of those waits
};

/// Result of an entry daemon's attempt to connect to a runner that the leader cannot reach.
struct reachability_check {
    milliseconds age{0}; ///< time from the start of the attempt to the report
    bool reachable = false;
};

/// Requests for one model since the previous report.
struct model_demand {
    std::uint32_t started = 0;
    std::uint32_t rejected = 0; ///< answered with "not run", because no group served them
};

/// Report of an entry daemon to the leading control daemon, sent several times a second.
struct health_report {
    std::map<runner_id, runner_observation> runners;
    std::map<runner_id, reachability_check> checks;
    std::map<model_id, model_demand> demand;
    rate_limit_observations rate_limits;
    crash_histories crashes; ///< requests during which runners crashed
    /// Requests whose connections were cut while it is not known whether the runner crashed.
    crash_histories cuts;
    /// Runners that have said in an answer that they leave, each with the start time of the process
    /// that said so. Reported for as long as the view shows them as accepting.
    std::map<runner_id, incarnation> leaving;
    bool cut_off = false; ///< the daemon reaches no runner
    /// The daemon as a peer of other entry daemons; empty if it accepts no requests of them.
    std::optional<entry_peer> as_peer;
};

} // namespace cedarpoint

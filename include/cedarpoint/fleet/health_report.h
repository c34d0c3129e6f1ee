#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/rate_limits/permit_messages.h"

#include <cstdint>
#include <map>

namespace cedarpoint {

/// What one entry daemon observed of one runner that it sends requests to.
struct runner_observation {
    int in_flight = 0;                 ///< requests that have not ended yet
    milliseconds silence{0};           ///< since the latest byte, while requests are in flight
    milliseconds since_byte{0};        ///< since the latest byte at all
    std::uint32_t failed_connects = 0; ///< connections not made since the latest byte
    bool refused = false;              ///< the address answered a connection with a reset
    std::uint32_t waits = 0;           ///< pauses or response times since the previous report
    duration waited{};                 ///< sum of those waits
};

/// One attempt of an entry daemon to connect to a runner that the leader can't reach.
struct reachability_check {
    milliseconds age{0}; ///< since the attempt began, when the report was made
    bool reachable = false;
};

/// Requests for one model since the previous report.
struct model_demand {
    std::uint32_t started = 0;
    std::uint32_t rejected = 0; ///< answered with a refusal because no group had room
};

/// What an entry daemon reports to the leading control daemon, several times a second.
struct health_report {
    std::map<runner_id, runner_observation> runners;
    std::map<runner_id, reachability_check> checks;
    std::map<model_id, model_demand> demand;
    rate_limit_sightings rate_limits;
    crash_histories crashes; ///< of requests under which runners have ended
    crash_histories cuts;    ///< at runners of which it is not known whether they have ended
    /// Runners that have said in an answer that they leave, in the lives that said so, while the
    /// view still shows them as accepting.
    std::map<runner_id, birth> leaving;
};

} // namespace cedarpoint

#pragma once

// What daemons tell each other of requests under which runners have ended.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/quarantine/request_fingerprint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// A runner has ended while it had a request in flight.
struct crash_observation {
    runner_id runner;
    instant sent_at;  ///< the request, to this runner
    instant ended_at; ///< its connection, without an answer
    daemon_id daemon; ///< that saw it
    request_id request;
    /// The connection that ended was made; empty if an earlier version of the program saw the end.
    std::optional<instant> connected_at;
    /// Tells the observations of one daemon apart, however often it reports them; 0: not told.
    std::uint64_t serial = 0;
    /// The runner's latest life that the leader had heard of when it ended.
    birth life;
    /// Only a later life of the runner shows that it ended: its address took connections all along.
    bool is_proved_by_life = false;
};

/// True if both are one observation of one daemon, told twice.
[[nodiscard]] inline bool is_same_observation(const crash_observation& one,
                                              const crash_observation& other)
{
    return one.serial != 0 && one.serial == other.serial && one.daemon == other.daemon &&
           one.runner == other.runner;
}

/// What is known of one request.
struct crash_history {
    std::vector<crash_observation> crashes;
    /// A runner has answered the request whole: it does not end the runners that run it.
    std::optional<instant> answered_at;
};

using crash_histories = std::map<request_fingerprint, crash_history>;

/// Runners that have ended under each request, one after the other.
using crash_counts = std::map<request_fingerprint, int>;

/// A request is sent to no runner any more once this many have ended under it, one after the other.
inline constexpr int crashes_to_quarantine = 3;

/// From here on a request has one attempt: its own retries would end the next runners.
inline constexpr int crashes_to_stop_retries = 2;

} // namespace cedarpoint

#pragma once

// Observations of runner crashes and the requests involved, as exchanged between daemons.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/quarantine/crash_cause.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// One daemon's observation that a runner ended, or may have ended, with a request in flight.
struct crash_observation {
    runner_id runner;
    /// When the request was sent to this runner; for a part of a prompt, the earliest of the
    /// requests in flight that have it.
    instant sent_at;
    instant ended_at; ///< when its connection ended without an answer
    daemon_id daemon; ///< the daemon that made the observation
    request_id request;
    /// When the connection was made; empty if the daemon runs a version that doesn't report it.
    std::optional<instant> connected_at;
    /// Identifies the observation among those of one daemon at this runner, also when it is
    /// reported again; 0 if the daemon doesn't report it.
    std::uint64_t serial = 0;
    /// The latest incarnation of the runner that the leader knew of at `ended_at`.
    incarnation its_incarnation;
    /// True if the crash is proved only by a later incarnation of the runner, because its address
    /// accepted connections all along.
    bool is_proved_by_incarnation = false;
    std::uint32_t position = 0; ///< of the part in the prompt, from 1; 0 for a whole request
};

/// Returns true if both are the same observation, reported twice by one daemon.
[[nodiscard]] inline bool is_same_observation(const crash_observation& one,
                                              const crash_observation& other)
{
    return one.serial != 0 && one.serial == other.serial && one.daemon == other.daemon &&
           one.runner == other.runner;
}

/// The crashes and the latest answer recorded for one possible cause.
struct crash_history {
    std::vector<crash_observation> crashes;
    /// When a runner last answered a request with this cause completely, which shows that it does
    /// not crash the runners that run it; empty if none has.
    std::optional<instant> answered_at;
};

using crash_histories = std::map<crash_cause, crash_history>;

/// For each suspected cause, the number of runners that crashed one after the other while running
/// it; at least `crashes_to_quarantine` if it is quarantined.
using crash_counts = std::map<crash_cause, int>;

/// A cause is quarantined once this many runners have crashed one after the other while running it.
inline constexpr int crashes_to_quarantine = 3;

/// From this count on a failed attempt is not retried: the retries would crash further runners.
inline constexpr int crashes_to_stop_retries = 2;

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cedarpoint {

/// Tracks which version of the view each entry daemon has and which changes to send to it next.
/// Sending a large view takes longer than the interval between two reports, so an update in flight
/// is not sent again unless it seems lost: resending 260 KB to each of 59 entry daemons every 200
/// ms made the leader lose its lease repeatedly.
class follower_tracker {
public:
    void clear() { followers_.clear(); }

    /// Processes a report of an entry daemon. It has version `confirmed` (0: none of this term);
    /// `behind` means that an update did not fit its version. Returns the version after which to
    /// send it all changes up to `current`, and records `current` as sent.
    [[nodiscard]] std::uint64_t on_report(instant now, const daemon_id& follower,
                                          std::uint64_t confirmed, bool behind,
                                          std::uint64_t current);

    /// Records that the latest update was not sent, so that the next report is answered with all
    /// missing changes.
    void on_dropped(const daemon_id& follower);

    /// A follower, and the version after which to send it changes.
    using pending = std::pair<daemon_id, std::uint64_t>;
    /// Returns the followers that have not been sent `current`, and records it as sent to them.
    [[nodiscard]] std::vector<pending> take_pending(instant now, std::uint64_t current);
    /// Removes and returns the followers whose reports have stopped.
    [[nodiscard]] std::vector<daemon_id> take_lost(instant now);

private:
    struct follower {
        instant last_report;
        std::uint64_t sent = 0;      ///< version of the latest update sent
        std::uint64_t confirmed = 0; ///< version that it reported
        bool dropped = false;        ///< an update since its latest report was not sent
        /// When it confirmed a higher version, or was sent all missing changes again. Changes sent
        /// in between don't count: a follower that lacks an earlier change can't apply them.
        instant progress_at;
    };

    std::map<daemon_id, follower> followers_;
};

} // namespace cedarpoint

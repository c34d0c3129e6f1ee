#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace cedarpoint {

/// Which version of the view each entry daemon has, and from which version on it is told changes
/// next. A large view takes longer on its way than the time between two reports, so what is under
/// way is not sent again unless it seems to be lost (TDV grown fresh-3a01: 260 KB to each of 59
/// entry daemons every 200 ms ended the leader's lease again and again).
class follower_tracker {
public:
    void clear() { followers_.clear(); }

    /// An entry daemon has reported: it has `confirmed` (0: nothing of this term), and `behind` if
    /// an update did not fit what it has. Returns the version from which on to tell it changes up
    /// to `current`, which counts as sent.
    [[nodiscard]] std::uint64_t on_report(instant now, const daemon_id& follower,
                                          std::uint64_t confirmed, bool behind,
                                          std::uint64_t current);

    /// The latest update was not sent, so the next report is answered with all that is missing.
    void on_dropped(const daemon_id& follower);

    /// A follower, and the version from which on to tell it changes.
    using pending = std::pair<daemon_id, std::uint64_t>;
    /// The followers that were not sent `current` yet; it counts as sent to them.
    [[nodiscard]] std::vector<pending> take_pending(instant now, std::uint64_t current);
    /// The followers that have fallen silent; each is named once and then forgotten.
    [[nodiscard]] std::vector<daemon_id> take_lost(instant now);

private:
    struct follower {
        instant heard;
        std::uint64_t sent = 0;      ///< version of the latest update
        std::uint64_t confirmed = 0; ///< what it reported to have
        bool dropped = false;        ///< an update since its latest report was not sent
        /// When it confirmed more than before, or was sent again all that it lacks. Changes sent
        /// meanwhile don't count: they are of no use to one that misses what came before them.
        instant progress_at;
    };

    std::map<daemon_id, follower> followers_;
};

} // namespace cedarpoint

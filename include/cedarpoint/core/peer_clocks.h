#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/peer_clock.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>

namespace cedarpoint {

/// Converts the clocks of all daemons that send messages to this one; see `peer_clock`.
class peer_clocks {
public:
    /// Returns when `peer` created a message that arrives at `now`, on this daemon's clock.
    /// `stamp_us` is the reading of the peer's clock in the message, in microseconds. If it is not
    /// plausible, returns `now`.
    [[nodiscard]] instant sent_at(instant now, const daemon_id& peer, std::int64_t stamp_us);
    void forget(const daemon_id& peer) { clocks_.erase(peer); }

private:
    std::map<daemon_id, peer_clock> clocks_;
};

} // namespace cedarpoint

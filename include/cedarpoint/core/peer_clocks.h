#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/peer_clock.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>

namespace cedarpoint {

/// The clocks of all daemons that send messages to this one.
class peer_clocks {
public:
    /// When `peer` made the message that has come now, by this daemon's clock. `stamp_us`: its own
    /// clock's reading as the message tells it. Without a plausible one the message counts as made
    /// now.
    [[nodiscard]] instant sent_at(instant now, const daemon_id& peer, std::int64_t stamp_us);
    void forget(const daemon_id& peer) { clocks_.erase(peer); }

private:
    std::map<daemon_id, peer_clock> clocks_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/recent_extreme.h"
#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Translates the steady clock of one other daemon into this daemon's own. Of the peer's messages
/// that came of late, the one that was under way for the shortest time tells how the clocks lie to
/// each other; so a message that was held up does not make what it tells seem later than it was.
/// The error is the shortest transit time, and the drift within two windows.
class peer_clock {
public:
    /// A message has come that the peer made when its own clock showed `stamp`. Returns when that
    /// was, by this daemon's clock.
    [[nodiscard]] instant on_message(instant now, instant stamp);

private:
    recent_minimum offsets_; ///< of this clock against the peer's
    instant latest_stamp_;
};

} // namespace cedarpoint

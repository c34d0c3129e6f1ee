#pragma once

#include "cedarpoint/core/recent_extreme.h"
#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Converts times on the steady clock of one other daemon to this daemon's clock. The offset
/// between the clocks is taken from the recent message with the shortest transit time, so that a
/// delayed message does not make the events that it reports appear later than they happened.
/// The error is the shortest transit time plus the clock drift within two windows of
/// `recent_minimum`.
class peer_clock {
public:
    /// Records a message that arrives at `now` and that the peer created when its own clock read
    /// `stamp`. Returns the creation time on this daemon's clock.
    [[nodiscard]] instant on_message(instant now, instant stamp);

private:
    recent_minimum offsets_; ///< this clock minus the peer's, transit time included
    instant latest_stamp_;
};

} // namespace cedarpoint

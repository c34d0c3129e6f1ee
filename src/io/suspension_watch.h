#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Notices that the machine was suspended. Timers that were set before are late by that time, so
/// their owners have to look at what is due.
class suspension_watch {
public:
    /// `now` by the clock that counts suspensions, `timer_time` by the one of timers.
    suspension_watch(instant now, instant timer_time) : apart_{now - timer_time} {}

    /// The time for which the machine was suspended since the previous call; zero if it was not.
    [[nodiscard]] duration take(instant now, instant timer_time);

private:
    duration apart_; ///< of the two clocks
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Detects that the machine was suspended. Timers set before the suspension fire late by its
/// length, so their owners must check what is due.
class suspension_watch {
public:
    /// `now`: time of the clock that runs during suspensions. `timer_time`: time of the clock that
    /// timers use.
    suspension_watch(instant now, instant timer_time) : clock_offset_{now - timer_time} {}

    /// Returns how long the machine was suspended since the previous call; zero if it was not.
    [[nodiscard]] duration take(instant now, instant timer_time);

private:
    duration clock_offset_; ///< difference between the two clocks
};

} // namespace cedarpoint

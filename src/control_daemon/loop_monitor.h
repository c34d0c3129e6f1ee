#pragma once

#include "cedarpoint/core/time.h"

#include <array>
#include <cstddef>
#include <optional>

namespace cedarpoint {

/// What a control daemon's event loop does between the ends of two ticks.
enum class loop_part {
    between_ticks, ///< calls to the API, answers of runners; idle until the timer fires
    messages,      ///< of other daemons
    log,           ///< the replicated log, with its writes to the disk
    plan,          ///< the leader's decisions and orders
    view,          ///< making the view and sending it to the entry daemons
    summary,       ///< the `plan` line and the metrics on it
};

/// Finds turns of the event loop that take long, and tells their parts. Whatever the loop does late
/// (acknowledgements, orders, heartbeats of the log) was late for one of them.
class loop_monitor {
public:
    /// The length of a turn from the end of one tick to the end of the next, and its parts.
    struct slow_turn {
        duration total{};
        std::array<duration, static_cast<std::size_t>(loop_part::summary) + 1> parts{};

        [[nodiscard]] duration of(loop_part part) const
        {
            return parts.at(static_cast<std::size_t>(part));
        }
    };

    /// Adds the time since the previous call to `part` of the present turn.
    void end_part(instant now, loop_part part);
    /// Ends the turn. Returns it if it took long and none was returned within the last second.
    [[nodiscard]] std::optional<slow_turn> end_turn(instant now);

private:
    slow_turn turn_;
    std::optional<instant> part_began_; ///< empty before the first turn
    instant next_report_;
};

} // namespace cedarpoint

#pragma once

#include <chrono>
#include <functional>

namespace cedarpoint {

/// Lets the event loop of a busy process look for work at most once a millisecond. Each look costs
/// time for every open connection, ready or not; a thousand streams make more than one ready in
/// that time. When the process is not busy, nothing is delayed.
class loop_pacer {
public:
    static constexpr std::chrono::microseconds shortest_round{1000};

    explicit loop_pacer(std::function<bool()> is_busy) : is_busy_{std::move(is_busy)} {}

    /// Starts pacing this thread's event loop.
    void attach();

private:
    void before_waiting();

    std::function<bool()> is_busy_;
    std::chrono::steady_clock::time_point last_round_;
};

/// Chooses Qt's own event loop over GLib's, which costs about twice as much with many
/// connections. Call before the application object is made.
void choose_event_loop();

} // namespace cedarpoint

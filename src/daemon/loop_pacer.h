#pragma once

#include <chrono>
#include <functional>

namespace cedarpoint {

/// Limits the event loop of a busy process to one poll per millisecond. The cost of a poll grows
/// with the number of open connections, ready or not. With a thousand streams, several are ready
/// after each millisecond, so one poll serves more of them. Nothing is delayed in a process that is
/// not busy.
class loop_pacer {
public:
    static constexpr std::chrono::microseconds min_round{1000};

    explicit loop_pacer(std::function<bool()> is_busy) : is_busy_{std::move(is_busy)} {}

    /// Starts to limit the event loop of the calling thread.
    void attach();

private:
    void before_waiting();

    std::function<bool()> is_busy_;
    std::chrono::steady_clock::time_point last_round_;
};

/// Selects Qt's event loop instead of GLib's, which needs about twice as much processor time with
/// many connections. Must be called before the application object is created.
void choose_event_loop();

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/reason.h"
#include "cedarpoint/core/time.h"
#include "io/clock.h"
#include "io/listen_step.h"
#include "io/log_line.h"

#include <memory>
#include <thread>

namespace cedarpoint {

/// Starts a daemon. Retries while one of its addresses is in use, for at most `max_wait`: a
/// previous process that was killed may still hold it. Returns null and sets `why` on failure.
template <class Daemon, class Settings>
[[nodiscard]] std::unique_ptr<Daemon> start_daemon(const Settings& daemon_settings, reason& why)
{
    constexpr duration max_wait = seconds{5};
    constexpr milliseconds retry_interval{100};
    const auto deadline = steady_now() + max_wait;
    auto out = Daemon::start(daemon_settings, why);
    if (out == nullptr && why.step == listen_in_use_step) {
        log_line("address_in_use").with("peer", why.peer).write();
    }
    while (out == nullptr && why.step == listen_in_use_step && steady_now() < deadline) {
        std::this_thread::sleep_for(retry_interval);
        why = {};
        out = Daemon::start(daemon_settings, why);
    }
    return out;
}

} // namespace cedarpoint

#pragma once

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace cedarpoint {

/// Signals of this process as events of its loop. Make it before any thread is started.
class process_signals {
public:
    process_signals();

    std::function<void()> on_stop;   ///< SIGTERM, SIGINT
    std::function<void()> on_reload; ///< SIGHUP
    /// Starts reporting; needs an application object.
    void attach();

private:
    void read();

    int descriptor_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace cedarpoint

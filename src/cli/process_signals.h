#pragma once

#include <QSocketNotifier>

#include <functional>
#include <memory>

namespace cedarpoint {

/// Delivers the signals of this process as events of the Qt event loop. Owns the signalfd and its
/// notifier. Construct it before any thread starts: the signals are blocked for threads started
/// later.
class process_signals {
public:
    process_signals();

    std::function<void()> on_stop;   ///< SIGTERM, SIGINT
    std::function<void()> on_reload; ///< SIGHUP
    /// Starts delivering signals; needs a QCoreApplication. Set the handlers first: without
    /// `on_reload`, SIGHUP terminates the process.
    void attach();

private:
    void read();

    int descriptor_;
    std::unique_ptr<QSocketNotifier> notifier_;
};

} // namespace cedarpoint

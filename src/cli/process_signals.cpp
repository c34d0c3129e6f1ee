#include "cli/process_signals.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace cedarpoint {

process_signals::process_signals()
{
    sigset_t set;
    sigemptyset(&set);
    for (const int signal_number : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&set, signal_number);
    }
    sigprocmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    descriptor_ = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

void process_signals::attach()
{
    if (!on_reload) {
        // Without a reload handler, SIGHUP keeps its default action and terminates the process.
        sigset_t hangup;
        sigemptyset(&hangup);
        sigaddset(&hangup, SIGHUP);
        pthread_sigmask(SIG_UNBLOCK, &hangup, nullptr);
    }
    notifier_ = std::make_unique<QSocketNotifier>(descriptor_, QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] { read(); });
}

void process_signals::read()
{
    signalfd_siginfo info{};
    while (::read(descriptor_, &info, sizeof info) > 0) {
        const auto& handler = info.ssi_signo == SIGHUP ? on_reload : on_stop;
        if (handler) {
            handler();
        }
    }
}

} // namespace cedarpoint

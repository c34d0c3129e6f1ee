#include "cedarpoint/config/settings.h"
#include "cli/commands.h"
#include "cli/exit_code.h"
#include "daemon/daemon.h"
#include "daemon/loop_pacer.h"
#include "io/log_line.h"
#include "storage/posix_file_system.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <fmt/format.h>
#include <sys/signalfd.h>
#include <unistd.h>

namespace cedarpoint {
namespace {

/// SIGTERM and SIGINT as a readable descriptor. Call before any thread is started.
int open_signal_descriptor()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

std::optional<settings> read_settings(const std::string& file)
{
    posix_file_system files;
    reason why;
    const auto text = files.read(file, why);
    if (!text) {
        fmt::print(stderr, "{}\n",
                   why.step.empty() ? "open " + file + ": there is no such file" : why.str());
        return {};
    }
    faults found;
    auto out = settings::parse(*text, found);
    for (const auto& it : found) {
        fmt::print(stderr, "{}: {}: {}\n", file, it.path.empty() ? "/" : it.path, it.text);
    }
    return out;
}

} // namespace

int run_serve(int& argc, char** argv, const std::string& settings_file)
{
    const int signals = open_signal_descriptor();
    auto own = read_settings(settings_file);
    if (!own) {
        return to_int(exit_code::bad_file);
    }
    log_line::use_json(own->json_logs);
    choose_event_loop();
    QCoreApplication app{argc, argv};
    reason why;
    const auto it = daemon::start(std::move(*own), why);
    if (it == nullptr) {
        log_line("can_not_start")
            .with("step", why.step)
            .with("peer", why.peer)
            .with("reason", why.text)
            .write();
        return to_int(exit_code::bad_file);
    }
    it->on_stopped = [](int code) { QCoreApplication::exit(code); };
    constexpr std::size_t many = 64; ///< requests in flight; fewer than this gain nothing
    loop_pacer pacer{[&] { return it->requests().in_flight() >= many; }};
    pacer.attach();
    QSocketNotifier notifier{signals, QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, [&] {
        signalfd_siginfo info{};
        if (::read(signals, &info, sizeof info) > 0) {
            it->stop();
        }
    });
    return QCoreApplication::exec();
}

} // namespace cedarpoint

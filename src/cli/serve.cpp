#include "cedarpoint/config/settings.h"
#include "cli/commands.h"
#include "cli/daemon_start.h"
#include "cli/exit_code.h"
#include "cli/process_signals.h"
#include "cli/settings_file.h"
#include "cli/start_report.h"
#include "daemon/daemon.h"
#include "daemon/loop_pacer.h"
#include "io/log_line.h"

#include <QCoreApplication>

namespace cedarpoint {
namespace {

/// Number of requests in flight from which the event loop is paced; with fewer, pacing has no
/// benefit.
constexpr std::size_t busy_requests = 64;

} // namespace

int run_serve(int& argc, char** argv, const std::string& settings_file)
{
    process_signals signals;
    auto daemon_settings = read_settings<settings>(settings_file);
    if (!daemon_settings) {
        return to_int(exit_code::bad_file);
    }
    log_line::use_json(daemon_settings->json_logs);
    choose_event_loop();
    QCoreApplication app{argc, argv};
    reason why;
    const auto it = start_daemon<daemon>(*daemon_settings, why);
    if (it == nullptr) {
        return report_failed_start(why);
    }
    it->on_stopped = [](int code) { QCoreApplication::exit(code); };
    loop_pacer pacer{[&] { return it->requests().in_flight() >= busy_requests; }};
    pacer.attach();
    signals.on_stop = [&] { it->stop(); };
    signals.attach();
    return QCoreApplication::exec();
}

} // namespace cedarpoint

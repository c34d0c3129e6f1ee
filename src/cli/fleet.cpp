#include "cedarpoint/config/fleet_settings.h"
#include "cli/commands.h"
#include "cli/daemon_start.h"
#include "cli/exit_code.h"
#include "cli/process_signals.h"
#include "cli/seed_file.h"
#include "cli/settings_file.h"
#include "cli/start_report.h"
#include "control_daemon/control_daemon.h"
#include "daemon/loop_pacer.h"
#include "entry/entry_daemon.h"
#include "io/log_line.h"
#include "io/process_memory.h"

#include <QCoreApplication>

namespace cedarpoint {
namespace {

void log_reload(const std::string& file)
{
    // The file is only validated: its settings apply at the next start, except the seeds, which a
    // daemon reads again while it knows no leader. It gets changes of the configuration from its
    // peers.
    const bool valid = read_settings<fleet_settings>(file).has_value();
    log_line("reload").with("file", file).with("valid", valid).with("applies", "at start").write();
}

} // namespace

int run_fleet(int& argc, char** argv, const std::string& settings_file)
{
    configure_allocator();
    process_signals signals;
    auto daemon_settings = read_settings<fleet_settings>(settings_file);
    if (!daemon_settings) {
        return to_int(exit_code::bad_file);
    }
    log_line::use_json(daemon_settings->json_logs);
    choose_event_loop();
    QCoreApplication app{argc, argv};
    reason why;
    seed_file seeds{settings_file, seed_daemons(*daemon_settings)};
    std::unique_ptr<control_daemon> control;
    std::unique_ptr<entry_daemon> entry;
    if (daemon_settings->role == fleet_role::control) {
        control = start_daemon<control_daemon>(*daemon_settings, why);
        if (control == nullptr) {
            return report_failed_start(why);
        }
        control->read_seeds = [&] { return seeds.read(); };
        control->on_stopped = [](int code) { QCoreApplication::exit(code); };
        signals.on_stop = [&] { control->stop(); };
    }
    else {
        entry = start_daemon<entry_daemon>(*daemon_settings, why);
        if (entry == nullptr) {
            return report_failed_start(why);
        }
        entry->read_seeds = [&] { return seeds.read(); };
        entry->on_stopped = [] { QCoreApplication::exit(to_int(exit_code::done)); };
        signals.on_stop = [&] { entry->stop(); };
    }
    signals.on_reload = [&] { log_reload(settings_file); };
    signals.attach();
    return QCoreApplication::exec();
}

} // namespace cedarpoint

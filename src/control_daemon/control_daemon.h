#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/fleet/fleet_leader.h"
#include "control_daemon/control_api.h"
#include "control_daemon/control_metrics.h"
#include "control_daemon/election_logger.h"
#include "control_daemon/log_membership.h"
#include "control_daemon/loop_monitor.h"
#include "control_daemon/runner_orders.h"
#include "io/disk_watch.h"
#include "io/http_listener.h"
#include "io/mesh.h"
#include "storage/posix_file_system.h"

#include <QTimer>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cedarpoint {

/// A control daemon: owns the sockets, files and timers that drive a member of the replicated log
/// and, while it leads, `fleet_leader`. Dispatches messages, executes the planner's steps, and
/// pushes the view to entry daemons.
class control_daemon {
public:
    /// Returns null and sets `why` if a listener or the data folder can't be opened.
    static std::unique_ptr<control_daemon> start(fleet_settings daemon_settings, reason& why);
    ~control_daemon();
    control_daemon(const control_daemon&) = delete;
    control_daemon& operator=(const control_daemon&) = delete;

    void stop();
    std::function<void(int exit_code)> on_stopped;
    seed_reader read_seeds; ///< optional; called while no leader is known

private:
    using reply_ptr = std::shared_ptr<http_reply>;

    explicit control_daemon(fleet_settings daemon_settings);
    bool open(reason& why);
    bool open_log(reason& why);
    bool open_listeners(reason& why);
    /// Logs what the stored state holds.
    void log_started() const;
    void open_orders();
    void open_api();
    [[nodiscard]] replicated_log::options make_log_options() const;

    void tick();
    /// Returns false once the replicated log has failed; logs the failure and stops the process.
    bool check_log();
    void track_leader();
    void tick_leader(instant now);
    void execute(instant now, const planner_step& step);
    void drop_lost_followers(instant now);
    void push_view(instant now);
    /// Logs a summary of the plan and updates the metrics on it.
    void summarize(instant now);
    /// Ends a turn of the event loop and logs it if it took long.
    void log_slow_turn(instant now);

    void receive(const wire::envelope& in);
    void on_follow(instant now, const wire::envelope& in);
    void on_order_end(const group_order& order, order_result result);
    void on_probe_failed(const runner_id& runner, probe_failure how);
    bool send(const daemon_id& to, wire::envelope out);

    /// Returns true while this daemon holds the leader's lease.
    [[nodiscard]] bool leads(instant now) const;
    /// Returns true if, in addition, `fleet_leader` has begun the current term.
    [[nodiscard]] bool has_begun_to_lead(instant now) const;
    [[nodiscard]] bool is_ready(instant now) const;
    /// Returns the API address of the leader; empty if none is known or this daemon leads.
    [[nodiscard]] std::optional<endpoint> leader_api() const;

    fleet_settings settings_;
    daemon_id id_;
    const platform_adapter& platform_;
    posix_file_system files_;
    fleet_state state_;
    fleet_leader leader_;
    control_metrics metrics_;
    mesh mesh_;
    std::unique_ptr<replicated_log> log_;
    std::unique_ptr<log_membership> membership_;
    std::unique_ptr<runner_orders> orders_;
    std::unique_ptr<control_api> api_;
    std::unique_ptr<http_listener> api_listener_;
    std::unique_ptr<http_listener> metrics_listener_;
    QTimer timer_;
    std::uint64_t led_term_ = 0; ///< the latest term in which this process led; 0: none
    disk_watch disk_;
    election_logger elections_;
    loop_monitor loop_;
    daemon_id known_leader_;
    instant next_refresh_;
    instant next_summary_;
    bool stopping_ = false;
};

} // namespace cedarpoint

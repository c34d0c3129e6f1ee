#pragma once

#include "cedarpoint/control/control_plane.h"
#include "cedarpoint/core/peer_clocks.h"
#include "cedarpoint/request/dispatcher.h"
#include "daemon/caller_gateway.h"
#include "daemon/daemon_metrics.h"
#include "daemon/decision_log.h"
#include "daemon/operator_api.h"
#include "daemon/runner_client.h"
#include "io/disk_watch.h"
#include "io/mesh.h"
#include "io/runner_end_checker.h"
#include "storage/posix_file_system.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace cedarpoint {

/// A running daemon with a list of peers. Owns the control plane, the dispatcher, and the sockets,
/// files and timers that drive them.
class daemon {
public:
    /// Returns null and sets `why` if a listener or the data folder can't be opened.
    static std::unique_ptr<daemon> start(settings daemon_settings, reason& why);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Starts a planned stop: refuses new requests, finishes running ones, then calls `on_stopped`.
    /// Requests that still run after the stop bound are cut off.
    void stop();
    std::function<void(int exit_code)> on_stopped;

    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] bool is_stopping() const { return stopping_; }
    [[nodiscard]] control_plane& control() { return *control_; }
    [[nodiscard]] const dispatcher& requests() const { return dispatcher_; }
    [[nodiscard]] const decision_log& decisions() const { return decisions_; }
    [[nodiscard]] daemon_metrics& metrics() { return metrics_; }
    [[nodiscard]] const settings& daemon_settings() const { return settings_; }
    [[nodiscard]] endpoint callers() const { return gateway_->address(); }
    [[nodiscard]] endpoint operators() const { return operators_->address(); }

private:
    explicit daemon(settings daemon_settings);
    bool open(reason& why);
    bool open_control(reason& why);
    bool open_mesh(reason& why);
    [[nodiscard]] control_hooks make_control_hooks();
    [[nodiscard]] caller_gateway::hooks make_gateway_hooks();
    void tick();
    /// Returns false and calls `on_stopped` if the state can no longer be made durable.
    bool check_durability();
    void poll_runners(instant now);
    void refresh_view();
    void refresh_metrics();
    void on_runner_end_checked(const runner_id& runner, bool refused);
    /// Sends the other daemons the requests that were in flight at runners that ended.
    void publish_crashes(instant now);
    void check_stop();

    settings settings_;
    posix_file_system files_;
    daemon_metrics metrics_;
    decision_log decisions_;
    dispatcher dispatcher_;
    peer_clocks peer_clocks_;
    std::unique_ptr<mesh> mesh_;
    runner_end_checker runner_ends_;
    std::unique_ptr<control_plane> control_;
    std::unique_ptr<runner_client> runners_;
    std::unique_ptr<caller_gateway> gateway_;
    std::unique_ptr<operator_api> operators_;
    QTimer timer_;
    instant next_view_;
    instant next_poll_;
    instant next_metrics_;
    instant next_publish_;
    instant stop_deadline_;
    revision view_revision_;
    bool stopping_ = false;
    bool ended_ = false;
    disk_watch disk_;
};

} // namespace cedarpoint

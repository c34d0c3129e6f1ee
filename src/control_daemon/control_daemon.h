#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/fleet/fleet_leader.h"
#include "control_daemon/control_metrics.h"
#include "control_daemon/runner_orders.h"
#include "io/http_listener.h"
#include "io/mesh.h"
#include "storage/posix_file_system.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <string>

namespace cedarpoint {

/// A control daemon: a voter of the log that holds the configuration; while it leads, also the
/// registry of runners and the one that forms groups.
class control_daemon {
public:
    /// Empty with `why` if a listener or the data folder can't be had.
    static std::unique_ptr<control_daemon> start(fleet_settings own, reason& why);
    ~control_daemon();
    control_daemon(const control_daemon&) = delete;
    control_daemon& operator=(const control_daemon&) = delete;

    void stop();
    std::function<void(int exit_code)> on_stopped;

private:
    using reply_ptr = std::shared_ptr<http_reply>;

    explicit control_daemon(fleet_settings own);
    bool open(reason& why);
    bool open_log(reason& why);
    bool open_listeners(reason& why);
    void tick();
    void lead(instant now);
    void push_view(instant now);
    void keep_members(instant now);
    bool change_member(instant now, const member_id& member, bool present, bool voter);
    void ask_to_join();
    void on_join(instant now, const wire::envelope& in);
    void receive(const wire::envelope& in);
    void on_probe_failed(const runner_id& runner, probe_failure how);
    void on_follow(instant now, const wire::envelope& in);
    /// Adds a provisional view for an entry daemon that has none, while no leader is known.
    void offer_provisional(const wire::fleet_follow& to, wire::fleet_update& out);
    void send(const daemon_id& to, wire::envelope out);
    [[nodiscard]] bool leads(instant now) const;
    [[nodiscard]] bool is_ready(instant now) const;

    void on_call(const http_request& request, const reply_ptr& reply);
    bool send_elsewhere(const http_request& request, const reply_ptr& reply);
    void put_configuration(const http_request& request, const reply_ptr& reply);
    void get_configuration(const reply_ptr& reply);
    void take_heartbeat(const runner_id& runner, const http_request& request,
                        const reply_ptr& reply);
    void take_departure(const runner_id& runner, bool gone, const reply_ptr& reply);
    void answer(const reply_ptr& reply, int status, const std::string& body = {}) const;

    fleet_settings own_;
    daemon_id id_;
    const platform_adapter& platform_;
    posix_file_system files_;
    fleet_state state_;
    fleet_leader leader_;
    control_metrics figures_;
    mesh mesh_;
    std::unique_ptr<replicated_log> log_;
    std::unique_ptr<runner_orders> orders_;
    std::unique_ptr<http_listener> control_;
    std::unique_ptr<http_listener> metrics_;
    QTimer timer_;
    std::uint64_t led_term_ = 0; ///< the term that this process leads or led last
    daemon_id known_leader_;
    wire::fleet_update provisional_; ///< the latest that was made
    instant next_membership_;
    instant next_refresh_;
    instant next_summary_;
    bool stopping_ = false;
};

} // namespace cedarpoint

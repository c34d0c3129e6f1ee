#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "entry/entry_context.h"
#include "entry/fleet_follower.h"
#include "entry/reachability_checker.h"
#include "entry/relay.h"
#include "io/address_prober.h"
#include "io/http_listener.h"
#include "io/mesh.h"
#include "io/process_memory.h"
#include "io/runner_end_checker.h"
#include "io/suspension_watch.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace cedarpoint {

/// An entry daemon: accepts callers' requests and follows the control daemons. Stores nothing on
/// disk. Owns the sockets and timers that drive one `relay` for each request and `fleet_follower`.
class entry_daemon {
public:
    /// Returns null and sets `why` if a listener can't be opened.
    static std::unique_ptr<entry_daemon> start(fleet_settings daemon_settings, reason& why);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// Begins a planned stop: reports not ready at once, serves requests until the load balancer
    /// has removed this daemon, and then calls `on_stopped`.
    void stop();
    std::function<void()> on_stopped;
    seed_reader read_seeds; ///< optional; called while no leader answers
    [[nodiscard]] bool is_ready() const;

private:
    explicit entry_daemon(fleet_settings daemon_settings);
    bool open(reason& why);
    void tick();
    void observe_memory(instant now);
    void check_stop(instant now);
    /// If the machine was suspended, makes all requests check their deadlines again.
    void check_suspension(instant now);
    /// Probes the runners whose paths fail, and logs when this daemon is cut off from all of them.
    void check_paths(instant now);
    void on_cut_off(instant now, const path_monitor::cut_off& cut);
    void on_path_probed(const runner_id& runner, connect_probe::result how);
    /// Probes the other entry daemons that were not reached.
    void check_peers(instant now);
    void on_view(view_copy::outcome outcome);
    void install_configuration(const wire::accepted_configuration& accepted);
    [[nodiscard]] fleet_follower::hooks make_follower_hooks();
    [[nodiscard]] health_report make_report();
    void on_update(const wire::fleet_update& update);
    void log_missing_leader(duration since, const std::set<daemon_id>& asked) const;
    void on_runner_end_checked(const runner_id& runner, bool refused);
    bool open_listeners(reason& why);
    [[nodiscard]] bool is_stop_due(instant now);
    /// Ends all requests with a final answer, since the stop bound is near.
    void end_requests();
    [[nodiscard]] std::shared_ptr<relay> make_relay(request_source source, http_request request,
                                                    const std::shared_ptr<http_reply>& reply);
    [[nodiscard]] std::unique_ptr<http_listener> make_listener(request_source source);
    void stop_listeners();

    fleet_settings settings_;
    listener_memory memory_; ///< of both listeners for requests
    entry_context context_;
    fleet_follower follower_;
    reachability_checker reachability_;
    runner_end_checker runner_ends_;
    address_prober<runner_id> path_prober_;
    address_prober<endpoint> peer_prober_;
    std::optional<instant> cut_off_since_; ///< from all runners, as logged
    mesh mesh_;
    std::set<std::shared_ptr<relay>> requests_;
    /// Kept until none of their member functions is on the call stack.
    std::vector<std::shared_ptr<relay>> finished_requests_;
    std::unique_ptr<http_listener> callers_listener_;
    std::unique_ptr<http_listener> forwards_listener_; ///< null: accepts no peers' requests
    std::unique_ptr<http_listener> ready_listener_;
    std::unique_ptr<http_listener> metrics_listener_;
    QTimer timer_;
    suspension_watch suspensions_;
    memory_trimmer memory_trimmer_;
    std::uint64_t installed_version_ = 0;  ///< of the configuration in `context_.routes`
    std::uint64_t unreadable_version_ = 0; ///< of the latest configuration that can't be parsed
    bool closing_ = false;                 ///< a planned stop has closed the listener for callers
    std::size_t cut_ = 0;                  ///< requests that a planned stop has ended
};

} // namespace cedarpoint

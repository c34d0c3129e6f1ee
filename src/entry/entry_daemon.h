#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "entry/entry_context.h"
#include "entry/fleet_follower.h"
#include "entry/reach_checker.h"
#include "entry/relay.h"
#include "io/http_listener.h"
#include "io/mesh.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace cedarpoint {

/// An entry daemon: takes callers' requests and follows the control daemons. Has no disk.
class entry_daemon {
public:
    /// Empty with `why` if a listener can't be had.
    static std::unique_ptr<entry_daemon> start(fleet_settings own, reason& why);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    /// A planned stop: not ready at once, still serving while callers may come, then gone.
    void stop();
    std::function<void()> on_stopped;
    [[nodiscard]] bool is_ready() const;

private:
    explicit entry_daemon(fleet_settings own);
    bool open(reason& why);
    void tick();
    void check_stop(instant now);
    void on_view(view_copy::outcome outcome);
    void take_configuration(const wire::accepted_configuration& accepted);
    void fill(wire::fleet_follow& out);
    void on_request(http_request request, const std::shared_ptr<http_reply>& reply);

    fleet_settings own_;
    entry_context context_;
    fleet_follower follower_;
    reach_checker reach_;
    mesh mesh_;
    std::set<std::shared_ptr<relay>> requests_;
    std::vector<std::shared_ptr<relay>> ended_; ///< kept until none of their calls is under way
    std::unique_ptr<http_listener> callers_;
    std::unique_ptr<http_listener> ready_;
    std::unique_ptr<http_listener> metrics_;
    QTimer timer_;
    std::uint64_t refused_version_ = 0; ///< a configuration that could not be read
    instant stop_began_;
    bool closing_ = false;
};

} // namespace cedarpoint

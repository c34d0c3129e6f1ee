#pragma once

#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/fleet_leader.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "control_daemon/control_metrics.h"
#include "io/http_listener.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// Handles the HTTP calls of operators and runners to a control daemon. Only the leader answers
/// from its state; other daemons redirect the caller to it. A change is acknowledged only after a
/// quorum has committed it.
class control_api {
public:
    using reply_ptr = std::shared_ptr<http_reply>;

    /// The functions of the daemon that the API uses.
    struct hooks {
        std::function<bool()> leads;
        std::function<bool()> is_ready;
        /// Returns the API address of the leader; empty if none is known or this daemon leads.
        std::function<std::optional<endpoint>()> leader;
        /// See `replicated_log::propose`.
        std::function<bool(std::string, replicated_log::answer_handler)> propose;
        /// Called after a commit, to push the new view to the entry daemons.
        std::function<void()> on_committed;
    };

    control_api(const platform_adapter& platform, const fleet_state& state, fleet_leader& leader,
                control_metrics& metrics, hooks hooks);

    void on_call(const http_request& request, const reply_ptr& reply);

private:
    /// Returns true if the call was answered with a redirect or an error because this daemon does
    /// not lead.
    bool redirect(control_call kind, const http_request& request, const reply_ptr& reply);
    void dispatch(const parsed_call& parsed, const http_request& request, const reply_ptr& reply);
    void put_configuration(const http_request& request, const reply_ptr& reply);
    void propose_configuration(std::uint64_t version, const std::string& document,
                               const reply_ptr& reply);
    void get_configuration(const reply_ptr& reply);
    void handle_heartbeat(const runner_id& runner, const http_request& request,
                          const reply_ptr& reply);
    void list_quarantine(const reply_ptr& reply);
    void lift_quarantine(const crash_cause& cause, const reply_ptr& reply);
    void handle_deregistration(const runner_id& runner, const http_request& request,
                               const reply_ptr& reply);
    /// Proposes a runner's departure to the log. `gone`: the runner terminates; otherwise it
    /// drains. `reported_incarnation`: the runner's start time as stated in the call; 0 if it
    /// states none.
    void handle_departure(const runner_id& runner, bool gone, incarnation reported_incarnation,
                          const reply_ptr& reply);

    const platform_adapter& platform_;
    const fleet_state& state_;
    fleet_leader& leader_;
    control_metrics& metrics_;
    hooks hooks_;
};

} // namespace cedarpoint

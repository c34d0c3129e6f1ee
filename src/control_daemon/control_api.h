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

/// The calls of operators and runners to a control daemon. Only the leader answers from its state;
/// another daemon sends the caller there. What is acknowledged has been committed by a quorum.
class control_api {
public:
    using reply_ptr = std::shared_ptr<http_reply>;

    /// What the api asks of its daemon.
    struct hooks {
        std::function<bool()> leads;
        std::function<bool()> is_ready;
        /// Where another daemon that leads takes calls; empty if none is known.
        std::function<std::optional<endpoint>()> leader;
        /// As `replicated_log::propose`.
        std::function<bool(std::string, replicated_log::answer_handler)> propose;
        /// What was committed has to reach the entry daemons.
        std::function<void()> on_committed;
    };

    control_api(const platform_adapter& platform, const fleet_state& state, fleet_leader& leader,
                control_metrics& metrics, hooks hooks);

    void on_call(const http_request& request, const reply_ptr& reply);

private:
    /// True if the call was answered because this daemon does not lead.
    bool redirect(const http_request& request, const reply_ptr& reply);
    void dispatch(const parsed_call& parsed, const http_request& request, const reply_ptr& reply);
    void put_configuration(const http_request& request, const reply_ptr& reply);
    void propose_configuration(std::uint64_t version, const std::string& document,
                               const reply_ptr& reply);
    void get_configuration(const reply_ptr& reply);
    void take_heartbeat(const runner_id& runner, const http_request& request,
                        const reply_ptr& reply);
    void list_quarantine(const reply_ptr& reply);
    void lift_quarantine(const request_fingerprint& request, const reply_ptr& reply);
    /// `gone`: the runner ends; otherwise it drains.
    void take_departure(const runner_id& runner, bool gone, birth told, const reply_ptr& reply);

    const platform_adapter& platform_;
    const fleet_state& state_;
    fleet_leader& leader_;
    control_metrics& metrics_;
    hooks hooks_;
};

} // namespace cedarpoint

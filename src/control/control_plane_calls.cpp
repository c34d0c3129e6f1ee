// Commands from operators and from the request path.

#include "control/control_plane_priv.h"

namespace cedarpoint {
namespace {

/// How long an operator's command is retried.
constexpr duration operator_limit = seconds{10};
/// How long a claim is retried; after that the request is not run (docs/DESIGN.md, Claims).
constexpr duration claim_limit = seconds{3};
/// How long the end of a claim is retried.
constexpr duration finish_limit = seconds{60};

} // namespace

void control_plane::submit_configuration(instant now, wire::config_change change,
                                         answer_handler done)
{
    wire::command command;
    *command.mutable_config() = std::move(change);
    client_.submit(now, root_log_id, command, operator_limit, std::move(done));
}

void control_plane::submit_drain(instant now, wire::drain_change change, answer_handler done)
{
    // The drain mark is written to the log of the domain that contains the node, group or runner;
    // that of an unknown id to the log of this daemon's domain.
    const auto& config = *domain_->state.config();
    failure_domain_id owner = options_.daemon_settings.failure_domain;
    const auto* node = config.find_node(node_id{change.id()});
    for (const auto& it : config.runners) {
        if (change.kind() == "runner" && it.id.str() == change.id()) {
            node = config.find_node(it.node);
        }
    }
    if (node != nullptr && change.kind() != "group") {
        owner = config.domain_of(*node);
    }
    for (const auto& service : config.services) {
        for (const auto& it : service.upstreams) {
            if (change.kind() == "runner" && it.id.str() == change.id()) {
                owner = it.failure_domain;
            }
        }
    }
    const auto slash = change.id().rfind('/');
    if (const auto* pool = config.find_pool(pool_id{change.id().substr(0, slash)});
        change.kind() == "group" && pool != nullptr) {
        owner = pool->failure_domain;
    }
    wire::command command;
    *command.mutable_drain() = std::move(change);
    client_.submit(now, "domain-" + owner.str(), command, operator_limit, std::move(done));
}

void control_plane::begin_claim(instant now, const ask_claim& ask,
                                std::function<void(claim_verdict)> done)
{
    wire::command command;
    auto* it = command.mutable_claim();
    it->set_account(ask.key.account.str());
    it->set_key(ask.key.key);
    it->set_request(ask.request.str());
    it->set_now_ms(hooks_.wall_ms());
    const auto on_answer =
        [done = std::move(done)](const std::optional<wire::command_answer>& answer) {
            const bool known = answer && answer->claim_verdict() <=
                                             static_cast<std::uint32_t>(claim_verdict::unavailable);
            done(known ? static_cast<claim_verdict>(answer->claim_verdict())
                       : claim_verdict::unavailable);
        };
    client_.submit(now, "domain-" + ask.home.str(), command, claim_limit, on_answer);
}

void control_plane::finish_claim(instant now, const end_claim& end)
{
    wire::command command;
    auto* it = command.mutable_finish();
    it->set_account(end.key.account.str());
    it->set_key(end.key.key);
    it->set_request(end.request.str());
    it->set_outcome(static_cast<std::uint32_t>(end.outcome));
    client_.submit(now, "domain-" + end.home.str(), command, finish_limit, {});
}

} // namespace cedarpoint

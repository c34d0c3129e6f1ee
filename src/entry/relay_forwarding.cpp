// Requests that go through another entry daemon, at the daemon that sends them and at the one that
// sends them on.

#include "entry/peer_recorder.h"
#include "entry/relay.h"
#include "entry/runner_recorder.h"
#include "io/clock.h"
#include "io/header_rules.h"

namespace cedarpoint {
namespace {

/// Entry daemons that one request is sent through. More would take time without much hope: all of
/// them read the same list of runners.
constexpr std::size_t max_peers_per_request = 2;

/// A request waits this long for the configuration that the sending daemon has: between daemons
/// that hear the leader, a change arrives within this time.
constexpr milliseconds max_configuration_wait{300};

} // namespace

std::optional<runner_attempt::destination> relay::choose_peer(instant now) const
{
    // A request takes one hop, so that daemons that are wrong about each other make no loop.
    if (is_for_peer() || tried_peers_.size() >= max_peers_per_request) {
        return {};
    }
    const auto* peer = context_.peers.choose(now, tried_peers_);
    if (peer == nullptr) {
        return {};
    }
    return runner_attempt::destination{
        .address = peer->address, .runner = {}, .group = {}, .is_entry_daemon = true};
}

bool relay::lacks_configuration() const
{
    return is_for_peer() && (routes_ == nullptr ? 0 : routes_->version()) < read_version(*request_);
}

void relay::await_configuration()
{
    QObject::connect(&configuration_timer_, &QTimer::timeout, [this] {
        const auto self = shared_from_this();
        answer(local_reply::not_run, "this daemon's configuration is older than the sender's");
    });
    configuration_timer_.setSingleShot(true);
    configuration_timer_.start(max_configuration_wait);
}

void relay::on_configuration_changed()
{
    if (ended_ || !configuration_timer_.isActive()) {
        return;
    }
    routes_ = context_.routes;
    if (!lacks_configuration()) {
        configuration_timer_.stop();
        begin();
    }
}

std::unique_ptr<attempt_recorder> relay::make_recorder(const runner_attempt::destination& to)
{
    if (to.is_entry_daemon) {
        return std::make_unique<peer_recorder>(context_.peers, to.address);
    }
    return std::make_unique<runner_recorder>(context_, *context_.targets.find(to.runner), id_);
}

outgoing_request relay::make_forwarded_request() const
{
    forwarded_request added;
    added.time_left = std::chrono::duration_cast<milliseconds>(admission_.deadline - steady_now());
    added.resume_after = cursor_.last_id();
    added.excluded = sent_to_;
    // The other daemon learns of a leave from the leader, and of none while there is no leader.
    for (const auto& [runner, its_incarnation] : context_.targets.leaving_targets()) {
        added.excluded.insert(runner);
    }
    added.sender = context_.name;
    added.version = routes_->version();
    return serialize(request_, added, context_.platform.headers());
}

void relay::record_forwarded_end(const runner_attempt& attempt, const attempt_verdict& verdict)
{
    if (attempt.is_complete() && was_sent_to_none(read_forward_result(attempt.head()))) {
        --facts_.sent;
    }
    if (!attempt.runner().empty()) {
        tried_.insert(attempt.runner());
        sent_to_.insert(attempt.runner());
    }
    context_.metrics.count_forwarded(std::string{name_of(verdict.outcome)});
}

http_head relay::make_answer_head(const http_head& head) const
{
    auto out = without_hop_by_hop(head);
    if (is_for_peer()) {
        add_forward_fields(out, forward_result::from_runner, attempt_->runner());
    }
    else if (!tried_peers_.empty()) {
        out = without_forward_fields(out);
    }
    return out;
}

forward_result relay::own_result() const
{
    if (facts_.sent > 0) {
        return forward_result::sent;
    }
    if (lacks_configuration()) {
        return forward_result::outdated;
    }
    // A daemon that has just started knows no runner.
    const bool reaches_none =
        routes_ == nullptr || unreachable_ > 0 || context_.targets.paths().cut();
    return reaches_none ? forward_result::unreachable : forward_result::not_sent;
}

} // namespace cedarpoint

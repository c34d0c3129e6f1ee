// Where a request is sent next: to a runner, or through another entry daemon.

#include "entry/relay.h"
#include "io/clock.h"

#include <utility>

namespace cedarpoint {
namespace {

/// Connections of one request that may fail before it goes through another entry daemon.
constexpr int max_unreachable_attempts = 2;

/// Connections of one request that may time out while this daemon is cut off and no other one can
/// be asked. Probes find out when a runner is reached again.
constexpr int max_timeouts_while_cut_off = 1;

const char* no_target_reason(target_choice::outcome_t outcome)
{
    switch (outcome) {
    case target_choice::outcome_t::paused:
        return "all targets have asked for a pause";
    case target_choice::outcome_t::all_full:
        return "all targets are full";
    case target_choice::outcome_t::rate_limited:
        return "all targets with room have named a rate limit";
    default:
        return "no target is available";
    }
}

} // namespace

bool relay::comes_too_late(instant now) const
{
    const auto& route = *admission_.route;
    return context_.stop && !may_begin(*context_.stop, now, route.repeat,
                                       context_.answer_time.longest(now, route.name));
}

void relay::try_next_target()
{
    const auto now = steady_now();
    std::string why_none;
    const auto next = choose_next(now, why_none);
    if (!next) {
        fail_request(why_none);
        return;
    }
    if (!has_time_to_send(now)) {
        fail_request("too little time is left");
        return;
    }
    if (facts_.sent > 0 && !context_.budget.take(now, context_.entry_daemons)) {
        fail_request("the retry budget is spent");
        return;
    }
    attempt_ = make_attempt(*next);
    // A copy, because a failed connection may replace it within `start`.
    const auto started = attempt_;
    started->start();
}

std::optional<runner_attempt::destination> relay::choose_next(instant now, std::string& why_none)
{
    auto& paths = context_.targets.paths();
    if (paths.cut() || unreachable_ >= max_unreachable_attempts) {
        if (auto peer = choose_peer(now)) {
            return peer;
        }
    }
    const auto choice = context_.targets.choose(now, admission_.service, admission_.model, tried_);
    const bool is_reached = choice.target != nullptr && paths.can_reach(choice.target->runner);
    const bool may_be_reached_elsewhere =
        choice.target != nullptr ||
        (unreachable_ > 0 && choice.outcome == target_choice::outcome_t::none_available);
    if (!is_reached && may_be_reached_elsewhere) {
        if (auto peer = choose_peer(now)) {
            return peer;
        }
    }
    if (choice.target == nullptr) {
        pause_ends_ =
            choice.outcome == target_choice::outcome_t::paused ? choice.pause_ends : pause_ends_;
        why_none = no_target_reason(choice.outcome);
        return {};
    }
    if (reaches_no_runner()) {
        why_none = "no runner is reached";
        return {};
    }
    return runner_attempt::destination{choice.target->address, choice.target->runner,
                                       choice.target->group, false};
}

bool relay::reaches_no_runner() const
{
    const auto& cut = context_.targets.paths().cut();
    if (!cut) {
        return false;
    }
    return is_for_peer() || !tried_peers_.empty() ||
           (cut->is_confirmed && unanswered_ >= max_timeouts_while_cut_off);
}

std::shared_ptr<runner_attempt> relay::make_attempt(const runner_attempt::destination& to)
{
    if (to.is_entry_daemon) {
        tried_peers_.insert(to.address);
    }
    else {
        tried_.insert(to.runner);
    }
    return std::make_shared<runner_attempt>(context_, to, make_recorder(to), make_options(to),
                                            make_handlers());
}

} // namespace cedarpoint

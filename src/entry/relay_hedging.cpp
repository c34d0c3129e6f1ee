// Attempts that make no progress, and the second attempts that are started beside them.

#include "entry/relay.h"
#include "io/clock.h"
#include "io/log_line.h"

#include <utility>

namespace cedarpoint {

void relay::on_stalled(runner_attempt& stalled)
{
    if (&stalled != attempt_.get()) {
        read_held_attempt(); // the hedge makes no progress either
    }
    else if (hedge(hedge_mode::race, "the stream stalled")) {
        // Other requests go elsewhere first.
        stalled.recorder().on_effect(steady_now(), target_effect::failure);
    }
}

void relay::on_targets_changed()
{
    if (ended_ || attempt_ == nullptr || !attempt_->is_running() || attempt_->group().empty()) {
        return;
    }
    const auto* target = context_.targets.find(attempt_->runner());
    if (target != nullptr && target->group == attempt_->group()) {
        read_held_attempt(); // the group has come back
        return;
    }
    constexpr const char* why = "its group has ended";
    if (!attempt_->was_sent()) {
        move_unsent_attempt(why);
        return;
    }
    // The rest of its answer may never come, and one event more would void the hedge. A plain
    // answer voids nothing, so it is read if it comes.
    const auto mode = is_stream() ? hedge_mode::hold : hedge_mode::race;
    if (hedge_ != nullptr && mode == hedge_mode::hold) {
        hold_attempt();
    }
    hedge(mode, why);
}

void relay::on_cut_off()
{
    if (ended_ || attempt_ == nullptr || !attempt_->is_running() ||
        attempt_->to().is_entry_daemon) {
        return;
    }
    constexpr const char* why = "this daemon is cut off from all runners";
    // A request of another entry daemon goes back to it, which may send it through a third one.
    const bool has_other_way = is_for_peer() || choose_peer(steady_now()).has_value();
    if (!has_other_way) {
        return;
    }
    if (attempt_->was_sent()) {
        hedge(hedge_mode::race, why);
    }
    else {
        move_unsent_attempt(why);
    }
}

void relay::move_unsent_attempt(const char* why)
{
    if (!may_send_again(facts_, attempt_outcome::not_run)) {
        return;
    }
    const auto self = shared_from_this();
    const auto unsent = attempt_;
    unsent->cancel();
    handle_verdict(*unsent, {attempt_outcome::not_run, target_effect::none, why});
}

std::optional<runner_attempt::destination> relay::choose_hedge(instant now)
{
    if (ended_ || hedge_ != nullptr || !attempt_->is_running() || is_position_lost() ||
        !may_send_again(facts_, attempt_outcome::may_have_run) ||
        retry_may_crash_runner(attempt_outcome::may_have_run)) {
        return {};
    }
    if (!attempt_->runner().empty()) {
        tried_.insert(attempt_->runner()); // known now if it was chosen by another entry daemon
    }
    std::string why_none;
    auto out = choose_next(now, why_none);
    if (!out) {
        context_.metrics.count_hedge("no_target");
    }
    else if (!has_time_to_send(now)) {
        context_.metrics.count_hedge("no_time");
        out.reset();
    }
    else if (!context_.budget.take(now, context_.entry_daemons)) {
        context_.metrics.count_hedge("no_budget");
        out.reset();
    }
    return out;
}

bool relay::hedge(hedge_mode mode, const char* why)
{
    const auto self = shared_from_this();
    const auto now = steady_now();
    const auto to = choose_hedge(now);
    if (!to) {
        return false;
    }
    context_.metrics.count_hedge("started");
    log_line{"hedge"}
        .with("id", id_)
        .with("runner", attempt_->runner().str())
        .with("to", to->address.str())
        .with("why", why)
        .write();
    if (mode == hedge_mode::hold) {
        hold_attempt();
    }
    hedge_ = make_attempt(*to);
    // A copy, because a failed connection may reset it within `start`.
    const auto started = hedge_;
    started->start();
    return true;
}

void relay::hold_attempt()
{
    is_held_ = true;
    attempt_->pause(true);
}

void relay::read_held_attempt()
{
    if (std::exchange(is_held_, false)) {
        attempt_->pause(false);
    }
}

void relay::settle_on(const runner_attempt& attempt)
{
    if (hedge_ == nullptr) {
        return;
    }
    const bool hedge_won = &attempt == hedge_.get();
    context_.metrics.count_hedge(hedge_won ? "won" : "lost");
    const auto loser = hedge_won ? std::exchange(attempt_, hedge_) : hedge_;
    hedge_.reset();
    is_held_ = false;
    cancel_attempt(*loser);
    const attempt_verdict verdict{attempt_outcome::may_have_run, target_effect::none,
                                  hedge_won ? "the second attempt made progress first"
                                            : "the first attempt made progress again"};
    context_.metrics.count_attempt(std::string{name_of(verdict.outcome)});
    log_attempt(*loser, verdict);
}

bool relay::goes_on_without(const runner_attempt& failed)
{
    if (hedge_ == nullptr) {
        return false;
    }
    const bool hedge_failed = &failed == hedge_.get();
    context_.metrics.count_hedge(hedge_failed ? "failed" : "needed");
    if (!hedge_failed) {
        attempt_ = hedge_;
        is_held_ = false;
    }
    hedge_.reset();
    read_held_attempt();
    return true;
}

void relay::cancel_attempt(runner_attempt& attempt)
{
    facts_.may_have_run = facts_.may_have_run || attempt.was_sent();
    attempt.cancel();
}

void relay::abandon_attempts()
{
    for (const auto& each : {attempt_, hedge_}) {
        if (each != nullptr && each->is_running()) {
            cancel_attempt(*each);
        }
    }
    hedge_.reset();
}

} // namespace cedarpoint

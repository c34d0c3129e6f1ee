#include "entry/runner_recorder.h"

#include "io/header_rules.h"
#include "io/runner_signal_log.h"

#include <utility>

namespace cedarpoint {

runner_recorder::runner_recorder(entry_context& context, const fleet_target& target,
                                 std::string request)
    : context_{context}, runner_{target.runner}, incarnation_{target.its_incarnation},
      is_group_head_{!target.model.empty()}, request_{std::move(request)}
{
}

void runner_recorder::on_begin(instant now)
{
    if (context_.targets.permits().is_limited(runner_)) {
        context_.metrics.count_rate_limited_send();
    }
    context_.targets.on_sent(now, runner_);
}

std::string_view runner_recorder::reason_not_to_send(instant now) const
{
    // While this request waited for its connection, an answer to another request may have asked for
    // a pause or announced that the runner leaves.
    return context_.targets.holds().find(now, runner_) == send_hold::none
               ? ""
               : "the runner has asked to be sent nothing";
}

void runner_recorder::on_sending(instant now, bool on_new_connection)
{
    sent_at_ = now;
    if (on_new_connection) {
        context_.targets.on_connected(now, runner_);
    }
    if (context_.targets.holds().find(now, runner_) != send_hold::none) {
        context_.metrics.count_held_send();
    }
}

void runner_recorder::on_head(instant now, const http_head& head, bool is_authentic)
{
    const auto& names = context_.platform.headers();
    const auto& fields = head.fields;
    signals_ =
        read_answer_signals({head.status, fields.values(names.rate_limit),
                             fields.values(retry_after_field), fields.values(names.leaving)});
    if (signals_.is_from_other_runner) {
        return;
    }
    auto& holds = context_.targets.holds();
    if (signals_.asks_for_pause()) {
        holds.on_pause(now, runner_, incarnation_, signals_.pause.time);
    }
    new_signals news;
    news.rate_limit = record_rate_limit(now, is_authentic);
    news.leave =
        signals_.leave == leave_reading::leaving && holds.on_leaving(now, runner_, incarnation_);
    log_signals(runner_, signals_, news, request_);
    if (news.rate_limit || news.leave) {
        // Other daemons go on sending there until the leader publishes the change.
        context_.request_report_soon();
    }
    if (signals_.has_unreadable()) {
        context_.metrics.count_unreadable_signal();
    }
}

bool runner_recorder::record_rate_limit(instant now, bool is_authentic)
{
    const bool is_named = signals_.rate_limit.kind != rate_limit_reading::kind_t::absent;
    if (!is_named && !is_authentic) {
        return false; // only an answer that is certainly from the runner itself ends a limit
    }
    return context_.targets.permits().on_answer(now, runner_, signals_.rate_limit, sent_at_);
}

void runner_recorder::on_byte(instant now)
{
    if (!signals_.is_from_other_runner) {
        context_.targets.on_byte(now, runner_);
    }
}

void runner_recorder::on_event_gap(duration gap)
{
    context_.targets.on_wait(runner_, gap);
}

void runner_recorder::on_answer_time(duration time)
{
    // Heads of groups are measured by the pauses of streams.
    if (!is_group_head_) {
        context_.targets.on_wait(runner_, time);
    }
}

void runner_recorder::on_unreachable(instant now, bool refused)
{
    context_.targets.on_unreachable(now, runner_, refused);
}

void runner_recorder::on_effect(instant now, target_effect effect)
{
    if (effect == target_effect::failure) {
        context_.targets.on_failure(now, runner_);
    }
    if (effect == target_effect::success) {
        context_.targets.on_success(runner_);
    }
}

void runner_recorder::on_done()
{
    context_.targets.on_done(runner_);
}

} // namespace cedarpoint

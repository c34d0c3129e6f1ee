#include "entry/runner_attempt.h"

#include "cedarpoint/core/http_status.h"
#include "io/clock.h"
#include "io/header_rules.h"
#include "io/runner_signal_log.h"

#include <utility>

namespace cedarpoint {

runner_attempt::runner_attempt(entry_context& context, const fleet_target& target, options options,
                               handlers handlers)
    : context_{context}, address_{target.address}, runner_{target.runner},
      incarnation_{target.its_incarnation}, group_{target.group},
      is_group_head_{!target.model.empty()}, options_{std::move(options)}, handlers_{
                                                                               std::move(handlers)}
{
    stall_timer_.setSingleShot(true);
    stall_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&stall_timer_, &QTimer::timeout, [this] {
        const auto self = shared_from_this();
        handlers_.on_stalled();
    });
}

runner_attempt::~runner_attempt() = default;

void runner_attempt::start()
{
    const auto self = shared_from_this();
    exchange_request request;
    request.make_bytes = std::move(options_.make_request);
    request.head_only = options_.head_only;
    request.id_header = context_.platform.headers().request_id;
    request.id = options_.id;
    connection_ = context_.pool.take(address_, options_.longest_idle);
    if (context_.targets.permits().is_limited(runner_)) {
        context_.metrics.count_rate_limited_send();
    }
    context_.targets.on_sent(steady_now(), runner_);
    connection_->start(std::move(request), make_exchange_handlers());
}

exchange_handlers runner_attempt::make_exchange_handlers()
{
    const auto weak = weak_from_this();
    exchange_handlers out;
    out.on_sending = [weak] {
        if (const auto self = weak.lock(); self != nullptr && self->confirm_send()) {
            self->on_sending();
        }
    };
    out.on_head = [weak](const http_head& head) {
        if (const auto self = weak.lock()) {
            self->on_head(head);
        }
    };
    out.on_body = [weak](const std::string& bytes) {
        if (const auto self = weak.lock()) {
            self->on_body(bytes);
        }
    };
    out.on_end = [weak](exchange_end how, const reason& why) {
        if (const auto self = weak.lock()) {
            self->on_exchange_end(how, why);
        }
    };
    return out;
}

void runner_attempt::cancel()
{
    if (connection_ != nullptr) {
        connection_->cancel();
        release();
    }
}

void runner_attempt::pause(bool paused)
{
    if (connection_ == nullptr) {
        return;
    }
    connection_->pause(paused);
    if (paused) {
        stall_timer_.stop(); // the caller is slow, not the runner
    }
}

bool runner_attempt::confirm_send()
{
    const auto why = reason_not_to_send(steady_now());
    if (why.empty()) {
        return true;
    }
    cancel();
    handlers_.on_end({attempt_outcome::not_run, target_effect::none, std::string{why}});
    return false;
}

std::string_view runner_attempt::reason_not_to_send(instant now)
{
    if (!handlers_.may_send()) {
        return "too little time is left";
    }
    // While this request waited for its connection, an answer to another request may have asked for
    // a pause or announced that the runner leaves.
    return context_.targets.holds().find(now, runner_) == send_hold::none
               ? ""
               : "the runner has asked to be sent nothing";
}

void runner_attempt::on_sending()
{
    sent_at_ = steady_now();
    connected_at_ = connection_->connected_at();
    if (connection_->is_fresh()) {
        context_.targets.on_connected(*sent_at_, runner_);
    }
    count_held_send(*sent_at_);
    if (options_.expects_stream) {
        arm_stall_timer(options_.first_event_timeout);
    }
    handlers_.on_sending();
}

bool runner_attempt::is_authentic(const http_head& head) const
{
    const auto& names = context_.platform.headers();
    return head.fields.get(names.request_id) == options_.id && head.fields.has(names.signature) &&
           !head.fields.has("Content-Encoding");
}

void runner_attempt::on_head(const http_head& head)
{
    const auto now = steady_now();
    context_.targets.on_byte(now, runner_);
    head_ = head;
    record_signals(now);
    streaming_ = options_.expects_stream && head.status == http_status::ok &&
                 is_event_stream(head) && is_authentic(head);
}

void runner_attempt::record_signals(instant now)
{
    const auto& names = context_.platform.headers();
    const auto& fields = head_->fields;
    signals_ =
        read_answer_signals({head_->status, fields.values(names.rate_limit),
                             fields.values(retry_after_field), fields.values(names.leaving)});
    if (signals_.is_from_other_runner) {
        return;
    }
    auto& holds = context_.targets.holds();
    if (signals_.asks_for_pause()) {
        holds.on_pause(now, runner_, incarnation_, signals_.pause.time);
    }
    new_signals news;
    news.rate_limit = record_rate_limit(now);
    news.leave =
        signals_.leave == leave_reading::leaving && holds.on_leaving(now, runner_, incarnation_);
    log_signals(runner_, signals_, news, options_.id);
    if (news.rate_limit || news.leave) {
        // Other daemons go on sending there until the leader publishes the change.
        context_.request_report_soon();
    }
    if (signals_.has_unreadable()) {
        context_.metrics.count_unreadable_signal();
    }
}

bool runner_attempt::record_rate_limit(instant now)
{
    const bool is_named = signals_.rate_limit.kind != rate_limit_reading::kind_t::absent;
    if (!is_named && !is_authentic(*head_)) {
        return false; // only an answer that is certainly from the runner itself ends a limit
    }
    return context_.targets.permits().on_answer(now, runner_, signals_.rate_limit, *sent_at_);
}

void runner_attempt::count_held_send(instant now)
{
    if (context_.targets.holds().find(now, runner_) != send_hold::none) {
        context_.metrics.count_held_send();
    }
}

void runner_attempt::on_body(const std::string& bytes)
{
    context_.targets.on_byte(steady_now(), runner_);
    if (!streaming_) {
        body_ += bytes;
        return;
    }
    const bool fits = events_.put(bytes, [this](std::string_view event) { on_event(event); });
    if (!fits) {
        cancel();
        handlers_.on_end(
            {attempt_outcome::may_have_run, target_effect::none, "an event is too large"});
        return;
    }
    handlers_.on_events_forwarded();
}

void runner_attempt::on_event(std::string_view event)
{
    if (!handlers_.on_event(event)) {
        return;
    }
    const auto now = steady_now();
    if (latest_event_at_) {
        context_.targets.on_wait(runner_, now - *latest_event_at_);
    }
    latest_event_at_ = now;
    arm_stall_timer(options_.event_gap_timeout);
}

void runner_attempt::arm_stall_timer(milliseconds limit)
{
    stall_timer_.start(static_cast<int>(limit.count()));
}

void runner_attempt::on_exchange_end(exchange_end how, const reason& why)
{
    release();
    const auto verdict = judge(how, why);
    record_effect(verdict);
    handlers_.on_end(verdict);
}

attempt_verdict runner_attempt::judge(exchange_end how, const reason& why)
{
    switch (how) {
    case exchange_end::refused:
    case exchange_end::unsent:
        context_.targets.on_unreachable(steady_now(), runner_, how == exchange_end::refused);
        return {attempt_outcome::not_run, target_effect::none, why.str()};
    case exchange_end::cut:
        was_cut_ = true;
        return {attempt_outcome::may_have_run, target_effect::failure, why.str()};
    case exchange_end::complete:
        is_complete_ = true;
        break;
    }
    return judge_complete();
}

attempt_verdict runner_attempt::judge_complete() const
{
    if (streaming_) {
        return judge_stream_end(events_.has_partial_event());
    }
    answer_facts facts;
    facts.status = head_->status;
    facts.reports_not_executed = head_->fields.has(context_.platform.headers().not_executed);
    facts.is_authentic = is_authentic(*head_);
    facts.caller_has_events = options_.continues_stream;
    facts.asks_for_pause = signals_.asks_for_pause();
    return judge_answer(facts);
}

void runner_attempt::record_effect(const attempt_verdict& verdict)
{
    const auto now = steady_now();
    if (verdict.effect == target_effect::failure) {
        context_.targets.on_failure(now, runner_);
    }
    if (verdict.effect == target_effect::success) {
        context_.targets.on_success(runner_);
        // Response time of a plain runner. Heads of groups are measured by the pauses of streams.
        if (!streaming_ && !is_group_head_) {
            context_.targets.on_wait(runner_, now - *sent_at_);
        }
    }
}

void runner_attempt::release()
{
    stall_timer_.stop();
    context_.targets.on_done(runner_);
    context_.pool.release(std::exchange(connection_, nullptr));
}

} // namespace cedarpoint

#include "entry/runner_attempt.h"

#include "cedarpoint/core/http_status.h"
#include "cedarpoint/core/parse_integer.h"
#include "entry/forwarded_request.h"
#include "io/clock.h"
#include "io/header_rules.h"

#include <utility>

namespace cedarpoint {
namespace {

/// Delay before the check whether a runner still accepts connections. A process that ends closes
/// its sockets one after the other, and the listener may be the last.
constexpr milliseconds listener_close_delay{20};

} // namespace

runner_attempt::runner_attempt(entry_context& context, destination to,
                               std::unique_ptr<attempt_recorder> recorder, options options,
                               handlers handlers)
    : context_{context}, to_{std::move(to)}, recorder_{std::move(recorder)},
      options_{std::move(options)}, handlers_{std::move(handlers)},
      body_memory_{context.answers, [this](std::string_view why) { refuse_answer(why); }}
{
    stall_timer_.setSingleShot(true);
    stall_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&stall_timer_, &QTimer::timeout, [this] { on_stall_timer(); });
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
    connection_ = context_.pool.take(to_.address, options_.longest_idle);
    recorder_->on_begin(steady_now());
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
    out.on_body = [weak](std::string bytes) {
        if (const auto self = weak.lock()) {
            self->on_body(std::move(bytes));
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
    checks_runner_ = false;
    probe_.reset();
    body_ = {};
    body_memory_.set(0, 0);
}

void runner_attempt::pause(bool paused)
{
    if (connection_ == nullptr) {
        return;
    }
    connection_->pause(paused);
    if (paused) {
        stall_timer_.stop(); // nothing is read, so the silence is not the runner's
    }
    else if (options_.expects_stream) {
        arm_stall_timer(latest_event_at_ ? options_.event_gap_timeout
                                         : options_.first_event_timeout);
    }
}

bool runner_attempt::confirm_send()
{
    auto why = handlers_.reason_not_to_send(*this);
    if (why.empty()) {
        why = recorder_->reason_not_to_send(steady_now());
    }
    if (why.empty()) {
        return true;
    }
    cancel();
    handlers_.on_end(*this, {attempt_outcome::not_run, target_effect::none, std::string{why}});
    return false;
}

void runner_attempt::on_sending()
{
    sent_at_ = steady_now();
    connected_at_ = connection_->connected_at();
    recorder_->on_sending(*sent_at_, connection_->is_fresh());
    if (options_.expects_stream) {
        arm_stall_timer(options_.first_event_timeout);
    }
    handlers_.on_sending(*this);
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
    head_ = head;
    recorder_->on_head(now, head, is_authentic(head));
    recorder_->on_byte(now);
    if (to_.is_entry_daemon) {
        to_.runner = read_forward_runner(head);
    }
    streaming_ = options_.expects_stream && head.status == http_status::ok &&
                 is_event_stream(head) && is_authentic(head);
    if (!streaming_ && !options_.head_only &&
        !context_.answers.may_hold(announced_length().value_or(0))) {
        refuse_answer("the announced answer is too large");
        return;
    }
    if (can_be_passed_on()) {
        body_memory_.set_pass_on([this] { pass_on(); });
    }
}

std::optional<std::uint64_t> runner_attempt::announced_length() const
{
    const auto length = parse_integer(head_->fields.get("Content-Length"));
    return length && *length >= 0 ? std::optional{static_cast<std::uint64_t>(*length)}
                                  : std::nullopt;
}

bool runner_attempt::can_be_passed_on() const
{
    if (streaming_ || options_.head_only || !announced_length()) {
        return false;
    }
    const auto verdict = to_.is_entry_daemon ? judge_complete_forward() : judge_complete();
    return verdict.outcome == attempt_outcome::succeeded;
}

void runner_attempt::pass_on()
{
    if (!is_running()) {
        return;
    }
    passing_on_ = true;
    handlers_.on_part(*this, std::exchange(body_, {}));
}

std::string runner_attempt::take_body()
{
    auto out = std::exchange(body_, {});
    body_memory_.set(0, 0);
    return out;
}

void runner_attempt::on_body(std::string bytes)
{
    recorder_->on_byte(steady_now());
    if (passing_on_) {
        handlers_.on_part(*this, std::move(bytes));
        return;
    }
    if (!streaming_) {
        body_ += bytes;
        body_memory_.set(body_.size(), body_.capacity());
        return;
    }
    const bool fits = events_.put(bytes, [this](std::string_view event) { on_event(event); });
    if (!fits) {
        cancel();
        handlers_.on_end(
            *this, {attempt_outcome::may_have_run, target_effect::none, "an event is too large"});
        return;
    }
    if (is_running()) {
        body_memory_.set(events_.partial_size(), events_.partial_size());
    }
    if (is_running()) {
        handlers_.on_events_forwarded(*this);
    }
}

void runner_attempt::refuse_answer(std::string_view why)
{
    if (!is_running()) {
        return; // the answer has been passed on
    }
    const auto self = shared_from_this();
    cancel();
    const attempt_verdict verdict{attempt_outcome::may_have_run, target_effect::failure,
                                  std::string{why}};
    record_effect(verdict);
    handlers_.on_end(*this, verdict);
}

void runner_attempt::on_event(std::string_view event)
{
    if (!is_running()) {
        return; // an earlier event of the same read has ended the attempt
    }
    switch (handlers_.on_event(*this, event)) {
    case event_cursor::decision::skip:
        return;
    case event_cursor::decision::end_run:
        refuse_answer("the stream does not continue where the caller is");
        return;
    case event_cursor::decision::pass_on:
        break;
    }
    const auto now = steady_now();
    if (latest_event_at_) {
        recorder_->on_event_gap(now - *latest_event_at_);
    }
    latest_event_at_ = now;
    arm_stall_timer(options_.event_gap_timeout);
}

void runner_attempt::arm_stall_timer(milliseconds limit)
{
    stall_timer_.start(static_cast<int>(limit.count()));
}

void runner_attempt::on_stall_timer()
{
    const auto self = shared_from_this();
    stall_timer_.start();
    // If this process was late, the event may wait in the socket.
    if (!connection_->has_pending_event()) {
        handlers_.on_stalled(*this);
    }
}

void runner_attempt::on_exchange_end(exchange_end how, const reason& why)
{
    const bool may_be_torn = how == exchange_end::complete && !to_.is_entry_daemon &&
                             connection_->answer_ended_with_connection();
    release();
    if (may_be_torn) {
        check_runner();
    }
    else {
        finish(how, why);
    }
}

void runner_attempt::check_runner()
{
    checks_runner_ = true;
    // Other open connections prove nothing: their ends may still be on their way. Only a process
    // that runs, or its supervisor, accepts a new one.
    probe_ = std::make_unique<connect_probe>(to_.address, [this](connect_probe::result how) {
        // Queued, because the end of the attempt or another check destroys the probe.
        QTimer::singleShot(0, [weak = weak_from_this(), how] {
            const auto self = weak.lock();
            if (self == nullptr || !self->checks_runner_) {
                return;
            }
            self->on_checked(how);
        });
    });
    probe_->start(listener_close_delay);
}

void runner_attempt::on_checked(connect_probe::result how)
{
    switch (how) {
    case connect_probe::result::connected:
        finish(exchange_end::complete, {});
        return;
    case connect_probe::result::refused:
        finish(exchange_end::cut,
               {"read", to_.address.str(), "the runner ended with its connection"});
        return;
    case connect_probe::result::failed:
        // A process that runs may accept no connection for a while.
        handlers_.on_stalled(*this);
        if (checks_runner_) {
            check_runner();
        }
        return;
    }
}

void runner_attempt::finish(exchange_end how, const reason& why)
{
    checks_runner_ = false;
    const auto verdict = judge(how, why);
    record_effect(verdict);
    handlers_.on_end(*this, verdict);
}

attempt_verdict runner_attempt::judge(exchange_end how, const reason& why)
{
    switch (how) {
    case exchange_end::refused:
    case exchange_end::unsent:
        was_unreachable_ = true;
        was_unanswered_ = how == exchange_end::unsent;
        recorder_->on_unreachable(steady_now(), how == exchange_end::refused);
        return {attempt_outcome::not_run, target_effect::none, why.str()};
    case exchange_end::cut:
        was_cut_ = true;
        return {attempt_outcome::may_have_run, target_effect::failure, why.str()};
    case exchange_end::complete:
        is_complete_ = true;
        break;
    }
    return to_.is_entry_daemon ? judge_complete_forward() : judge_complete();
}

attempt_verdict runner_attempt::judge_complete_forward() const
{
    switch (read_forward_result(*head_)) {
    case forward_result::from_runner:
        return judge_complete();
    case forward_result::not_sent:
        return {attempt_outcome::not_run, target_effect::none,
                "the other entry daemon has sent it to no runner"};
    case forward_result::unreachable:
        return {attempt_outcome::not_run, target_effect::none,
                "the other entry daemon reaches no runner"};
    case forward_result::outdated:
        return {attempt_outcome::not_run, target_effect::none,
                "the other entry daemon's configuration is older"};
    default:
        // A status that promises that the request has not run is also true for the caller.
        return promises_not_run(head_->status)
                   ? attempt_verdict{attempt_outcome::not_run, target_effect::none,
                                     "the other entry daemon's runner has not run it"}
                   : attempt_verdict{attempt_outcome::may_have_run, target_effect::none,
                                     "the other entry daemon got no answer"};
    }
}

attempt_verdict runner_attempt::judge_complete() const
{
    if (streaming_) {
        const auto why = handlers_.reason_not_complete(*this);
        return why.empty() ? judge_stream_end(events_.has_partial_event())
                           : attempt_verdict{attempt_outcome::may_have_run, target_effect::failure,
                                             std::string{why}};
    }
    answer_facts facts;
    facts.status = head_->status;
    facts.reports_not_executed = head_->fields.has(context_.platform.headers().not_executed);
    facts.is_authentic = is_authentic(*head_);
    facts.caller_has_events = options_.continues_stream;
    facts.asks_for_pause = recorder_->asks_for_pause();
    return judge_answer(facts);
}

void runner_attempt::record_effect(const attempt_verdict& verdict)
{
    const auto now = steady_now();
    recorder_->on_effect(now, verdict.effect);
    if (verdict.effect == target_effect::success && !streaming_) {
        recorder_->on_answer_time(now - *sent_at_);
    }
}

void runner_attempt::release()
{
    stall_timer_.stop();
    recorder_->on_done();
    context_.pool.release(std::exchange(connection_, nullptr));
}

} // namespace cedarpoint

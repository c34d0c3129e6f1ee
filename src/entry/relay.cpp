#include "entry/relay.h"

#include "cedarpoint/core/parse_integer.h"
#include "cedarpoint/fleet/stall_rule.h"
#include "entry/runner_request.h"
#include "io/clock.h"
#include "io/header_rules.h"
#include "io/log_line.h"

#include <algorithm>
#include <random>
#include <utility>

namespace cedarpoint {
namespace {

/// A request with less time left than this is not sent, since no runner could answer in time.
constexpr milliseconds min_time_to_send{15};

/// Longest idle time of a pooled connection that is reused for a request that may run only once.
/// The longer a connection was idle, the likelier the runner closes it while the request is in
/// transit, and such a request can't be retried.
constexpr milliseconds max_idle_if_not_repeatable{1000};
/// The same limit for a request that can be retried.
constexpr milliseconds max_idle_if_repeatable{4000};

/// Bounds the memory of an answer that is passed on as it arrives: reading from the runner pauses
/// when more than this many bytes are buffered for the caller, and resumes when less than half are.
constexpr std::size_t max_buffer_bytes = 256 << 10;
/// The same bound while the memory for answers is full.
constexpr std::size_t max_buffer_bytes_if_full = 16 << 10;

/// Bytes of an event that the log shows.
constexpr std::size_t max_logged_event = 40;

std::optional<milliseconds> parse_milliseconds(std::string_view text)
{
    const auto number = parse_integer(text);
    return number ? std::optional{milliseconds{*number}} : std::nullopt;
}

/// Returns true if no runner has answered the attempt, so that the caller may send the request
/// again.
bool has_no_answer(attempt_outcome outcome)
{
    return outcome == attempt_outcome::not_run || outcome == attempt_outcome::may_have_run;
}

local_reply local_reply_for(admission_refusal why)
{
    switch (why) {
    case admission_refusal::no_route:
        return local_reply::no_route;
    case admission_refusal::unknown_key:
        return local_reply::unknown_key;
    default:
        return local_reply::no_configuration;
    }
}

} // namespace

relay::relay(entry_context& context, request_source source, http_request request,
             std::shared_ptr<http_reply> reply, end_handler on_end)
    : context_{context}, source_{source}, request_{std::make_shared<const http_request>(
                                              std::move(request))},
      reply_{std::move(reply)}, on_end_{std::move(on_end)}, routes_{context.routes},
      id_{request_->fields.get(context.platform.headers().request_id)}, arrived_{steady_now() -
                                                                                 request_->waited},
      cursor_{request_->fields.get(context.platform.headers().resume_after)}
{
    deadline_timer_.setSingleShot(true);
    deadline_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&deadline_timer_, &QTimer::timeout, [this] { on_deadline(); });
}

relay::~relay()
{
    reply_->on_caller_disconnected = nullptr;
    reply_->on_drained = nullptr;
}

bool relay::is_stream() const
{
    return admission_.route != nullptr && admission_.route->repeat == repeat_policy::stream;
}

void relay::start()
{
    const auto self = shared_from_this();
    if (!reply_->is_open()) {
        finish("caller_gone", "before the request was read");
        return;
    }
    reply_->on_caller_disconnected = [this] { on_caller_gone(); };
    if (lacks_configuration()) {
        await_configuration();
        return;
    }
    begin();
}

void relay::refuse_for_memory()
{
    const auto self = shared_from_this();
    answer(local_reply::no_memory, "");
}

void relay::begin()
{
    if (!admit_request()) {
        return;
    }
    if (const auto cause = find_quarantined()) {
        refuse_quarantined(*cause);
        return;
    }
    const auto now = steady_now();
    if (comes_too_late(now)) {
        answer(local_reply::stopping, "");
        return;
    }
    start_deadline_timer(now);
    if (is_for_peer()) {
        tried_ = read_excluded(*request_);
    }
    else {
        count_first_attempt(now);
    }
    try_next_target();
}

void relay::count_first_attempt(instant now)
{
    if (!admission_.model.empty()) {
        ++context_.demand[admission_.model].started;
    }
    context_.budget.on_first_attempt(now);
}

void relay::start_deadline_timer(instant now)
{
    const auto left = std::chrono::duration_cast<milliseconds>(admission_.deadline - now);
    deadline_timer_.start(static_cast<int>(std::max(left, milliseconds{0}).count()));
}

void relay::on_resumed(instant now)
{
    if (ended_ || admission_.route == nullptr) {
        return;
    }
    if (now >= admission_.deadline) {
        on_deadline();
    }
    else {
        start_deadline_timer(now);
    }
}

bool relay::has_time_to_send(instant now) const
{
    return admission_.deadline - now >= min_time_to_send;
}

bool relay::admit_request()
{
    const auto& names = context_.platform.headers();
    const auto& fields = request_->fields;
    std::uniform_real_distribution<double> draw(0, 1);
    admission_request in;
    in.host = fields.get("Host");
    in.target = request_->target;
    in.authorization = fields.get("Authorization");
    in.model = fields.get(names.model);
    in.caller_timeout = parse_milliseconds(fields.get(names.deadline_ms));
    admission_ = admit(arrived_, routes_.get(), in, draw(context_.random));
    if (admission_.refusal != admission_refusal::none) {
        answer(local_reply_for(admission_.refusal), "");
        return false;
    }
    facts_.repeat = admission_.route->repeat;
    facts_.resumable = admission_.route->resumable;
    // The entry daemon that sent the request decides on retries.
    facts_.max_attempts = is_for_peer() ? 1 : std::max(admission_.route->max_attempts, 1);
    return true;
}

// --- attempts -----------------------------------------------------------------------------------

outgoing_request relay::make_request(const runner_id& runner) const
{
    const auto now = steady_now();
    runner_request added;
    added.time_left = std::chrono::duration_cast<milliseconds>(admission_.deadline - now);
    added.expected_runner = runner;
    added.resume_after = cursor_.last_id();
    if (admission_.account != nullptr) {
        added.account = admission_.account->name;
    }
    if (!admission_.model.empty()) {
        added.priority = engine_priority(*admission_.route, admission_.account);
    }
    return serialize(request_, added, context_.platform.headers());
}

runner_attempt::options relay::make_options(const runner_attempt::destination& to) const
{
    const auto& route = *admission_.route;
    runner_attempt::options out;
    if (to.is_entry_daemon) {
        out.make_request = [this] { return make_forwarded_request(); };
    }
    else {
        out.make_request = [this, runner = to.runner] { return make_request(runner); };
    }
    out.id = id_;
    out.head_only = request_->method == "HEAD";
    out.expects_stream = is_stream();
    out.continues_stream = answer_begun_;
    out.longest_idle = is_repeatable(facts_) ? max_idle_if_repeatable : max_idle_if_not_repeatable;
    out.first_event_timeout = first_event_timeout(route.target_latency);
    out.event_gap_timeout = event_gap_timeout(route.target_gap);
    return out;
}

runner_attempt::handlers relay::make_handlers()
{
    // Capturing `this` is safe: the relay cancels its attempts before it finishes, and its owner
    // keeps it until none of its member functions runs.
    runner_attempt::handlers out;
    out.reason_not_to_send = [this](runner_attempt&) { return reason_not_to_send(); };
    out.on_sending = [this](const runner_attempt& attempt) {
        ++facts_.sent;
        if (!attempt.to().is_entry_daemon) {
            sent_to_.insert(attempt.runner());
        }
    };
    out.on_event = [this](runner_attempt& attempt, std::string_view event) {
        return forward_event(attempt, event);
    };
    out.on_part = [this](runner_attempt& attempt, std::string part) {
        pass_on_part(attempt, std::move(part));
    };
    out.reason_not_complete = [this](const runner_attempt& attempt) {
        return std::string_view{cursor_.reaches_caller(attempt.events_seen())
                                    ? ""
                                    : "the stream ended before the event that the caller has"};
    };
    out.on_events_forwarded = [this](runner_attempt&) { apply_backpressure(); };
    out.on_stalled = [this](runner_attempt& attempt) { on_stalled(attempt); };
    out.on_end = [weak = weak_from_this()](runner_attempt& attempt,
                                           const attempt_verdict& verdict) {
        if (const auto self = weak.lock()) {
            self->on_attempt_end(attempt, verdict);
        }
    };
    return out;
}

event_cursor::decision relay::forward_event(runner_attempt& from, std::string_view event)
{
    // Only a numbered event continues the stream. Others, such as comments, are no progress.
    const bool is_numbered = event_cursor::has_id(event);
    if (!is_numbered && &from == hedge_.get()) {
        return event_cursor::decision::skip;
    }
    const bool was_disordered = from.events_seen().is_disordered;
    const auto decision = cursor_.advance(from.events_seen(), event);
    if (decision != event_cursor::decision::pass_on) {
        return decision;
    }
    if (from.events_seen().is_disordered && !was_disordered) {
        note_disorder(from, event);
    }
    if (is_numbered) {
        settle_on(from);
    }
    const auto now = steady_now();
    if (!answer_begun_) {
        answer_begun_ = true;
        reply_->begin(make_answer_head(attempt_->head()));
        observe_first_byte(now);
    }
    else if (!is_for_peer()) {
        context_.metrics.observe_pause(now - latest_event_at_);
    }
    latest_event_at_ = now;
    reply_->write(std::string{event});
    return decision;
}

void relay::note_disorder(runner_attempt& from, std::string_view event)
{
    context_.metrics.count_disordered_stream();
    log_line{"event_out_of_order"}
        .with("id", id_)
        .with("runner", from.runner().str())
        .with("after", cursor_.last_id())
        .with("event", event.substr(0, event.find('\n')).substr(0, max_logged_event))
        .write();
}

bool relay::is_position_lost() const
{
    return answer_begun_ && !cursor_.is_position_certain();
}

void relay::pass_on_part(runner_attempt& from, std::string part)
{
    if (!answer_begun_) {
        settle_on(from);
        answer_begun_ = true;
        facts_.max_attempts = facts_.sent; // an answer must not be joined from two runs
        reply_->begin(make_answer_head(from.head()), from.announced_length());
        observe_first_byte(steady_now());
    }
    passed_on_ += part.size();
    reply_->write(std::move(part));
    apply_backpressure();
}

std::size_t relay::max_buffered() const
{
    return context_.answers.is_full() ? max_buffer_bytes_if_full : max_buffer_bytes;
}

void relay::apply_backpressure()
{
    if (reply_->buffered() <= max_buffered() || !attempt_->is_running()) {
        return;
    }
    attempt_->pause(true);
    reply_->on_drained = [this] { on_drained(); };
}

void relay::on_drained()
{
    if (attempt_->is_running() && !is_held_ && reply_->buffered() < max_buffered() / 2) {
        reply_->on_drained = nullptr;
        attempt_->pause(false);
    }
}

void relay::on_attempt_end(runner_attempt& ended, const attempt_verdict& verdict)
{
    if (verdict.outcome != attempt_outcome::not_run) {
        facts_.may_have_run = true;
    }
    unreachable_ += ended.was_unreachable() ? 1 : 0;
    if (ended.to().is_entry_daemon) {
        record_forwarded_end(ended, verdict);
    }
    else {
        unanswered_ += ended.was_unanswered() ? 1 : 0;
    }
    const bool failed = verdict.outcome == attempt_outcome::client_error ||
                        verdict.outcome == attempt_outcome::server_error;
    if (failed) {
        failed_answer_head_ = ended.head();
        failed_answer_body_ = ended.body();
    }
    if (!ended.to().is_entry_daemon) {
        record_attempt_end(ended, verdict);
    }
    handle_verdict(ended, verdict);
}

void relay::handle_verdict(const runner_attempt& ended, const attempt_verdict& verdict)
{
    if (ended_) {
        return;
    }
    context_.metrics.count_attempt(std::string{name_of(verdict.outcome)});
    if (verdict.outcome == attempt_outcome::succeeded) {
        settle_on(ended);
        deliver_answer();
        return;
    }
    log_attempt(ended, verdict);
    if (verdict.outcome == attempt_outcome::client_error && !answer_begun_) {
        settle_on(ended); // other runners would answer the same
    }
    if (goes_on_without(ended)) {
        return;
    }
    if (const auto cause = find_quarantined(); cause && has_no_answer(verdict.outcome)) {
        refuse_quarantined(*cause);
    }
    else if (is_position_lost() || !may_send_again(facts_, verdict.outcome)) {
        fail_request(verdict.why);
    }
    else if (retry_may_crash_runner(verdict.outcome)) {
        fail_request("runners have ended under this request");
    }
    else {
        try_next_target();
    }
}

} // namespace cedarpoint

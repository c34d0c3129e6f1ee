// How a request ends: with a runner's answer, with an answer of this daemon, or with an aborted
// stream.

#include "entry/relay.h"

#include "cedarpoint/core/http_status.h"
#include "io/clock.h"
#include "io/header_rules.h"
#include "io/log_line.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

/// Upper bound in seconds of the random time that is added to Retry-After for callers refused
/// during a pause, so that they don't all retry at the moment when it ends.
constexpr double max_retry_spread_s = 0.5;

/// Interval at which an answer whose caller takes it slowly is checked after its deadline.
constexpr milliseconds slow_caller_check{250};

} // namespace

void relay::observe_first_byte(instant now)
{
    if (!is_for_peer()) { // otherwise the daemon that sent the request observes it
        context_.metrics.observe_first_byte(now - arrived_);
    }
}

void relay::deliver_answer()
{
    const auto now = steady_now();
    if (answer_begun_) {
        reply_->finish();
    }
    else {
        reply_->send(make_answer_head(attempt_->head()), attempt_->take_body());
        observe_first_byte(now);
    }
    context_.answer_time.record(now, admission_.route->name, now - arrived_);
    if (!is_for_peer()) {
        context_.metrics.observe_request_time(now - arrived_);
    }
    finish("served", "");
}

void relay::fail_request(const std::string& why)
{
    final_answer_facts known;
    known.has_begun = answer_begun_;
    known.has_failure = failed_answer_head_.has_value();
    known.failure_status = failed_answer_head_ ? failed_answer_head_->status : 0;
    known.may_have_run = facts_.may_have_run;
    known.is_repeatable = is_repeatable(facts_);
    switch (choose_final_answer(known)) {
    case final_answer::abort_stream:
        abort_stream(why);
        return;
    case final_answer::pass_failure:
        pass_failure(why);
        return;
    case final_answer::not_run:
        if (!admission_.model.empty() && !is_for_peer()) {
            ++context_.demand[admission_.model].rejected;
        }
        answer(local_reply::not_run, why);
        return;
    case final_answer::unknown:
        answer(local_reply::outcome_unknown, why);
        return;
    }
}

void relay::pass_failure(const std::string& why)
{
    auto head = make_answer_head(*failed_answer_head_);
    if (head.status == http_status::service_unavailable && head.fields.has(retry_after_field)) {
        // The runner's pause applies only to this daemon; other entry daemons may serve the caller
        // sooner.
        head = without_field(head, retry_after_field);
        head.fields.add(retry_after_field, std::string{short_retry_after});
    }
    reply_->send(std::move(head), failed_answer_body_);
    finish("failed_at_runner", why);
}

void relay::abort_stream(const std::string& why)
{
    // The abort reports a disconnected caller, which is no reason for the end of this request.
    reply_->on_caller_disconnected = nullptr;
    reply_->abort();
    finish("broken_off", why);
}

void relay::answer(local_reply kind, const std::string& why)
{
    const auto& spec = spec_of(kind);
    http_head head{spec.status, {}};
    head.fields.add(context_.platform.headers().request_id, id_);
    head.fields.add("Content-Type", "application/json");
    if (auto value = retry_after(spec); !value.empty()) {
        head.fields.add(retry_after_field, std::move(value));
    }
    if (is_for_peer()) {
        add_forward_fields(head, own_result(), {});
    }
    reply_->send(std::move(head), fmt::format("{{\"error\":\"{}\"}}", spec.wire_text));
    const bool refused = spec.status == http_status::service_unavailable ||
                         spec.status == http_status::too_many_requests;
    finish(refused ? "refused" : "rejected", why.empty() ? spec.log_cause : why);
}

std::string relay::retry_after(const local_reply_spec& spec)
{
    if (spec.kind != local_reply::not_run || !pause_ends_) {
        return std::string{spec.retry_after};
    }
    std::uniform_real_distribution<double> spread{0, max_retry_spread_s};
    const std::chrono::duration<double> left = *pause_ends_ - steady_now();
    return fmt::format("{:.3f}", std::max(left.count(), 0.0) + spread(context_.random));
}

void relay::on_caller_gone()
{
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    abandon_attempts();
    finish("caller_gone", "");
}

void relay::on_deadline()
{
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    if (is_taken_slowly()) {
        deadline_timer_.start(slow_caller_check);
        return;
    }
    abandon_attempts();
    if (answer_begun_) {
        abort_stream("deadline exceeded");
    }
    else {
        answer(facts_.may_have_run ? local_reply::expired : local_reply::expired_not_run, "");
    }
}

bool relay::is_taken_slowly()
{
    const bool progresses = std::exchange(passed_on_at_check_, passed_on_) != passed_on_;
    return passed_on_ > 0 && attempt_->is_running() && (reply_->buffered() > 0 || progresses);
}

void relay::on_stop_due()
{
    if (ended_) {
        return;
    }
    const auto self = shared_from_this();
    abandon_attempts();
    fail_request("the daemon stops");
}

void relay::finish(const char* outcome, std::string_view cause)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    deadline_timer_.stop();
    configuration_timer_.stop();
    reply_->on_caller_disconnected = nullptr;
    reply_->on_drained = nullptr;
    // The text after a colon names a peer. As a label value it would create a time series for each.
    const std::string cause_label{cause.substr(0, cause.find(':'))};
    if (is_for_peer()) {
        context_.metrics.count_peer_request(outcome, cause_label);
    }
    else {
        context_.metrics.count_end(outcome, cause_label);
    }
    log_line{is_for_peer() ? "peer_request" : "request"}
        .with("id", id_)
        .with("outcome", outcome)
        .with("cause", cause)
        .with("route", admission_.route != nullptr ? admission_.route->name : "")
        .with("runner", attempt_ != nullptr ? attempt_->runner().str() : "")
        .with("group", attempt_ != nullptr ? attempt_->group().str() : "")
        .with("through", attempt_ != nullptr ? peer_address(*attempt_) : "")
        .with("for", is_for_peer() ? read_sender(*request_) : "")
        .with("sent", facts_.sent)
        .with("ms", to_ms(steady_now() - arrived_))
        .with("config", routes_ != nullptr ? routes_->version() : 0)
        .with("fingerprint", describe_fingerprint())
        .write();
    on_end_(shared_from_this());
}

std::string relay::peer_address(const runner_attempt& attempt)
{
    return attempt.to().is_entry_daemon ? attempt.to().address.str() : std::string{};
}

void relay::log_attempt(const runner_attempt& attempt, const attempt_verdict& verdict)
{
    log_line{"attempt"}
        .with("id", id_)
        .with("outcome", name_of(verdict.outcome))
        .with("runner", attempt.runner().str())
        .with("group", attempt.group().str())
        .with("through", peer_address(attempt))
        .with("why", verdict.why)
        .with("parts", attempt.was_cut() ? describe_shared_parts() : "")
        .write();
}

std::string relay::describe_shared_parts()
{
    std::vector<std::string_view> out;
    for (const auto& cause : causes()) {
        if (const auto* part = std::get_if<prompt_part>(&cause)) {
            out.emplace_back(part->id.str());
        }
    }
    return fmt::format("{}", fmt::join(out, ","));
}

} // namespace cedarpoint

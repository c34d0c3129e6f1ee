#include "cedarpoint/fleet/answer_verdict.h"

#include "cedarpoint/core/http_status.h"

#include <fmt/format.h>

namespace cedarpoint {
namespace {

attempt_verdict judge_success(const answer_facts& in)
{
    if (!in.is_authentic) {
        return {attempt_outcome::may_have_run, target_effect::failure,
                "the answer lacks the request's id or the runner's signature"};
    }
    if (in.caller_has_events) {
        return {attempt_outcome::may_have_run, target_effect::failure,
                "the answer does not go on with the stream"};
    }
    return {attempt_outcome::succeeded, target_effect::success, ""};
}

/// How an unsuccessful answer counts for its runner. A request for a pause is not a failure.
target_effect effect_of_failure(const answer_facts& in)
{
    return in.asks_for_pause ? target_effect::none : target_effect::failure;
}

} // namespace

attempt_verdict judge_answer(const answer_facts& in)
{
    if (in.reports_not_executed || in.status == http_status::misdirected_request) {
        return {attempt_outcome::not_run, effect_of_failure(in),
                fmt::format("status {} not executed", in.status)};
    }
    if (in.status < http_status::first_error) {
        return judge_success(in);
    }
    const auto why = fmt::format("status {}", in.status);
    if (in.status < http_status::first_server_error) {
        return {attempt_outcome::client_error, target_effect::none, why};
    }
    return {attempt_outcome::server_error, effect_of_failure(in), why};
}

attempt_verdict judge_stream_end(bool ended_within_event)
{
    if (ended_within_event) {
        return {attempt_outcome::may_have_run, target_effect::failure,
                "the stream ended within an event"};
    }
    return {attempt_outcome::succeeded, target_effect::success, ""};
}

} // namespace cedarpoint

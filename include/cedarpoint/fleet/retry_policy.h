#pragma once

#include "cedarpoint/core/http_status.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <array>
#include <string_view>

namespace cedarpoint {

// Decides whether a request may be sent again after an attempt at a runner, and how it ends if not.
// Keeps the rules TWICE and REFUSED (docs/RULES-KEPT.md): a request that may run only once is not
// sent again after a runner may have run it, and "not run" is answered for such a request only if
// it has not run and will not run. Pure functions without thresholds of their own; the number of
// attempts comes from the route.

/// How an attempt ended.
enum class attempt_outcome {
    not_run,      ///< nothing was sent, or the runner states that it did not run it
    may_have_run, ///< it was sent, but no complete, authentic answer arrived
    client_error, ///< complete answer with a 4xx status: the request is at fault
    server_error, ///< complete answer with a 5xx status
    succeeded
};

/// Returns the outcome's name in logs and metrics. Client and server errors share one name.
std::string_view name_of(attempt_outcome outcome);

/// State of a request between two attempts.
struct retry_facts {
    repeat_policy repeat = repeat_policy::at_most_once;
    bool resumable = false; ///< a stream can resume at another runner after its last complete event
    int sent = 0;           ///< attempts that reached a runner
    int max_attempts = 1;
    bool may_have_run = false; ///< a runner may have run it in an earlier attempt
};

/// Returns true if the request may run more than once.
[[nodiscard]] constexpr bool is_repeatable(const retry_facts& facts)
{
    return facts.repeat == repeat_policy::any_number ||
           (facts.repeat == repeat_policy::stream && facts.resumable);
}

/// Whether a request may be sent again after an attempt with this outcome, if it is repeatable and
/// if it may run only once.
struct retry_rule {
    attempt_outcome outcome;
    bool if_repeatable;
    bool if_once;
};
inline constexpr std::array<retry_rule, 5> retry_rules{{
    {attempt_outcome::not_run, true, true},
    {attempt_outcome::may_have_run, true, false},
    {attempt_outcome::client_error, false, false}, // other runners would answer the same
    {attempt_outcome::server_error, true, false},
    {attempt_outcome::succeeded, false, false},
}};

/// Returns true if the rules and the route's maximum number of attempts allow another attempt.
/// Whether it is made also depends on the time left, the targets and the retry budget.
[[nodiscard]] constexpr bool may_send_again(const retry_facts& facts, attempt_outcome outcome)
{
    for (const auto& rule : retry_rules) {
        if (rule.outcome == outcome) {
            return facts.sent < facts.max_attempts &&
                   (is_repeatable(facts) ? rule.if_repeatable : rule.if_once);
        }
    }
    return false;
}

/// How a request ends that no attempt has served.
enum class final_answer {
    abort_stream, ///< the caller has part of a stream: its connection is aborted
    pass_failure, ///< the caller receives the failed runner's answer
    not_run,      ///< 503: the request has not run and will not, or is repeatable
    unknown       ///< 502: the request may have run
};

/// State of a request that gets no further attempt.
struct final_answer_facts {
    bool has_begun = false;   ///< the caller has received part of a stream
    bool has_failure = false; ///< a runner has given a complete answer with an error status
    int failure_status = 0;   ///< status of that answer
    bool may_have_run = false;
    bool is_repeatable = false;
};

/// Returns true for statuses from which callers conclude that their request has not run.
[[nodiscard]] constexpr bool promises_not_run(int status)
{
    return status == http_status::request_timeout || status == http_status::too_many_requests ||
           status == http_status::service_unavailable;
}

[[nodiscard]] final_answer choose_final_answer(const final_answer_facts& facts);

} // namespace cedarpoint

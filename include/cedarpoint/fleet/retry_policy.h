#pragma once

#include "cedarpoint/core/http_status.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <array>
#include <string_view>

namespace cedarpoint {

// What may be done after an attempt at a runner, and what the caller is told when nothing more may
// be done. Keeps TWICE and REFUSED (docs/RULES-KEPT.md): a request that may run once is not sent
// again after a runner may have run it, and a caller is told "not run" only if that holds for good.
// Pure. None of its rules has a threshold of its own; the number of attempts comes from the route.

/// How an attempt ended.
enum class attempt_outcome {
    not_run,      ///< nothing was sent, or the runner says that it did not run the request
    may_have_run, ///< it was sent, and no whole, authentic answer came
    client_error, ///< a whole answer with a 4xx status: the request itself is wrong
    server_error, ///< a whole answer with a 5xx status
    succeeded
};

/// A name for the log and for metrics.
std::string_view name_of(attempt_outcome outcome);

/// What is known of a request between two attempts.
struct retry_facts {
    repeat_policy repeat = repeat_policy::at_most_once;
    bool resumable = false; ///< a stream can go on at another runner after its last whole event
    int sent = 0;           ///< attempts that reached a runner
    int max_attempts = 1;
    bool may_have_run = false; ///< after an attempt that has ended
};

/// True if a request may run again after it may have run.
[[nodiscard]] constexpr bool is_repeatable(const retry_facts& facts)
{
    return facts.repeat == repeat_policy::any_number ||
           (facts.repeat == repeat_policy::stream && facts.resumable);
}

/// Whether a request may be sent again, by how its attempt ended.
struct retry_rule {
    attempt_outcome outcome;
    bool if_repeatable;
    bool if_once;
};
inline constexpr std::array<retry_rule, 5> retry_rules{{
    {attempt_outcome::not_run, true, true},
    {attempt_outcome::may_have_run, true, false},
    {attempt_outcome::client_error, false, false}, // any runner would answer the same
    {attempt_outcome::server_error, true, false},
    {attempt_outcome::succeeded, false, false},
}};

/// True if the rules and the route's number of attempts allow one more. Whether it is made depends
/// on the time left, on the targets and on the retry budget as well.
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

/// How a request ends that no attempt answered.
enum class final_answer {
    break_off,    ///< the caller has part of a stream: its connection is broken
    pass_failure, ///< the caller gets the answer of the runner that failed
    not_run,      ///< a refusal that promises that the request has not run and won't: 503
    unknown       ///< a failure that promises nothing: 502
};

/// What is known of a request when it is given up.
struct give_up_facts {
    bool has_begun = false;   ///< the caller has got part of a stream
    bool has_failure = false; ///< a runner's whole answer says that it failed
    int failure_status = 0;   ///< of that answer
    bool may_have_run = false;
    bool is_repeatable = false;
};

/// True for statuses by which callers conclude that their request has not run.
[[nodiscard]] constexpr bool promises_not_run(int status)
{
    return status == http_status::request_timeout || status == http_status::too_many_requests ||
           status == http_status::service_unavailable;
}

[[nodiscard]] final_answer choose_final_answer(const give_up_facts& facts);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/request/refusal.h"

#include <cstdint>

namespace cedarpoint {

// What follows when a request's attempt failed, or when its time in the queue is over. Pure
// functions; the retry budget is asked after them, since asking it takes from it.

/// How an attempt ended, as the side with the sockets saw it.
enum class attempt_end {
    complete,    ///< the whole answer arrived
    refused,     ///< the runner itself said that it did not take the request
    unsent,      ///< no byte reached the connection
    cut,         ///< it ended early, after bytes had been sent
    server_error ///< a whole answer with a 5xx status, not yet passed on
};

/// True if the end itself proves that this attempt ran nothing.
[[nodiscard]] constexpr bool proves_not_run(attempt_end how)
{
    return how == attempt_end::unsent || how == attempt_end::refused;
}

/// A request whose latest attempt failed.
struct failed_attempt {
    attempt_end how = attempt_end::cut;
    int attempts = 1;          ///< made for the request so far, this one included
    bool repeatable = true;    ///< may run twice
    bool resumable = false;    ///< a model's event stream: another runner can go on with it
    bool answered = false;     ///< the answer's head went to the caller
    bool may_have_run = false; ///< by this attempt or an earlier one
    instant give_up;
};

enum class failure_step {
    retry,  ///< send it again from the beginning
    resume, ///< another runner goes on after the last whole event
    refuse  ///< no further attempt: see `refusal_after`
};

/// The rule. The first line that fits decides:
///
///   max_attempts are made                             refuse
///   it may have run and is not repeatable             refuse
///   a part of the answer went out, resumable          resume, also after its time to give up
///   a part of the answer went out                     refuse
///   its time to give up has come                      refuse
///   else                                              retry
[[nodiscard]] failure_step step_after(instant now, const failed_attempt& it, int max_attempts);

/// The error of a request that gets no further attempt: it never claims less than may have run.
[[nodiscard]] refusal refusal_after(const failed_attempt& it);

/// What earlier attempts of a request in the queue have done.
struct queued_request {
    bool answered = false; ///< the answer's head went to the caller
    bool may_have_run = false;
};

/// The error of a request that loses its place in the queue, or finds none, for the reason that
/// `why` gives: it never claims less than may have run.
[[nodiscard]] refusal refusal_in_queue(refusal why, const queued_request& it);

/// How long a request rests before its next attempt when no other place is free. `attempts`, 1 or
/// more, were made; the pause doubles with each. `salt` spreads requests that failed together
/// over the upper half of the pause.
[[nodiscard]] duration retry_pause(int attempts, std::uint64_t salt);

} // namespace cedarpoint

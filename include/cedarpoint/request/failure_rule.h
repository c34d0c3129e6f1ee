#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/request/refusal.h"

#include <cstdint>

namespace cedarpoint {

// Decides what follows a failed attempt of a request, or the end of its time in the queue. Pure
// functions. The retry budget is asked after them, because asking it takes a token.

/// How an attempt ended, as seen by the code that owns the connection.
enum class attempt_end {
    complete,    ///< the whole response arrived
    refused,     ///< the runner reported that it did not accept the request
    unsent,      ///< no byte was passed to the connection
    cut,         ///< it ended early after bytes had been sent
    server_error ///< a 5xx response, not passed to the caller
};

/// Returns true if the end itself proves that the attempt ran nothing.
[[nodiscard]] constexpr bool proves_not_run(attempt_end how)
{
    return how == attempt_end::unsent || how == attempt_end::refused;
}

/// The state of a request whose latest attempt failed.
struct failed_attempt {
    attempt_end how = attempt_end::cut;
    int attempts = 1;          ///< made for the request, including this one
    bool repeatable = true;    ///< the request may run twice
    bool resumable = false;    ///< a model's event stream, which another runner can continue
    bool answered = false;     ///< the head of the response was passed to the caller
    bool may_have_run = false; ///< in this attempt or an earlier one
    instant expires_at;
};

enum class failure_step {
    retry,  ///< send it again from the beginning
    resume, ///< another runner continues after the last whole event
    refuse  ///< no further attempt: see `refusal_after`
};

/// Decides the next step for a failed attempt. The first line that applies decides:
///
///   `max_attempts` were made                          refuse
///   it may have run and is not repeatable             refuse
///   part of the response was passed on, resumable     resume, also after `expires_at`
///   part of the response was passed on                refuse
///   the time `expires_at` has come                    refuse
///   otherwise                                         retry
[[nodiscard]] failure_step step_after(instant now, const failed_attempt& it, int max_attempts);

/// Returns the error for a request that gets no further attempt. Its run state covers all attempts:
/// it is not "not run" if any of them may have run.
[[nodiscard]] refusal refusal_after(const failed_attempt& it);

/// The effects of earlier attempts of a request in the queue.
struct queued_request {
    bool answered = false; ///< the head of the response was passed to the caller
    bool may_have_run = false;
};

/// Returns the error for a request that is removed from the queue, or not admitted to it, for the
/// reason `why`. Its run state covers all attempts, as in `refusal_after`.
[[nodiscard]] refusal refusal_in_queue(refusal why, const queued_request& it);

/// Returns the pause before the next attempt when no other target is free. It doubles with each of
/// the `attempts` made, which is at least 1. `salt` spreads requests that failed together over the
/// upper half of the pause.
[[nodiscard]] duration retry_pause(int attempts, std::uint64_t salt);

} // namespace cedarpoint

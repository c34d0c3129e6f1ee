#include "cedarpoint/request/failure_rule.h"

#include "cedarpoint/request/refusals.h"

#include <algorithm>

namespace cedarpoint {

failure_step step_after(instant now, const failed_attempt& it, int max_attempts)
{
    if (it.attempts >= max_attempts) {
        return failure_step::refuse;
    }
    if (!it.repeatable && !proves_not_run(it.how)) {
        return failure_step::refuse;
    }
    if (it.answered) {
        // `expires_at` limits the wait for the response to begin; this response has begun.
        return it.resumable ? failure_step::resume : failure_step::refuse;
    }
    return now < it.expires_at ? failure_step::retry : failure_step::refuse;
}

refusal refusal_after(const failed_attempt& it)
{
    if (it.answered) {
        return refusals::runner_failed_while_answering();
    }
    return it.may_have_run ? refusals::runner_failed() : refusals::no_runner_accepted();
}

refusal refusal_in_queue(refusal why, const queued_request& it)
{
    if (it.answered) {
        return refusals::no_group_to_resume();
    }
    if (it.may_have_run) {
        why.ran = run_state::may_have_run;
    }
    return why;
}

duration retry_pause(int attempts, std::uint64_t salt)
{
    constexpr milliseconds first_pause{100};
    constexpr int max_doublings = 5; // a pause of at most 3.2 s
    constexpr std::int64_t parts = 1000;
    const auto full = duration{first_pause} * (1 << std::min(attempts - 1, max_doublings));
    const auto part = static_cast<std::int64_t>((salt >> 8U) % parts);
    return full / 2 + full * part / (2 * parts);
}

} // namespace cedarpoint

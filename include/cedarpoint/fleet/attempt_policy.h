#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"

namespace cedarpoint {

/// What one attempt at a runner came to.
enum class attempt_outcome {
    not_run,      ///< nothing was sent, or the runner says that it did not run it
    may_have_run, ///< sent, and no whole answer came
    failed,       ///< a whole answer that says that it failed
    succeeded
};

/// What is known of a request when an attempt has ended.
struct attempt_facts {
    repeat_policy repeat = repeat_policy::at_most_once;
    bool resumable = false;
    int sent = 0; ///< attempts that reached a runner
    int max_attempts = 1;
    bool may_have_run = false; ///< an earlier attempt may have
};

/// True if a request may run once more after it may have run.
[[nodiscard]] constexpr bool is_repeatable(const attempt_facts& facts)
{
    return facts.repeat == repeat_policy::any_number ||
           (facts.repeat == repeat_policy::stream && facts.resumable);
}

/// True if the request may be sent to another runner after `outcome`.
[[nodiscard]] constexpr bool may_send_again(const attempt_facts& facts, attempt_outcome outcome)
{
    if (outcome == attempt_outcome::succeeded || facts.sent >= facts.max_attempts) {
        return false;
    }
    return outcome == attempt_outcome::not_run || is_repeatable(facts);
}

/// True if the caller may be told that its request has not run and never will.
[[nodiscard]] constexpr bool may_promise_not_run(const attempt_facts& facts)
{
    return !facts.may_have_run || is_repeatable(facts);
}

} // namespace cedarpoint

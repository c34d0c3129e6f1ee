#include "cedarpoint/fleet/retry_policy.h"

namespace cedarpoint {

std::string_view name_of(attempt_outcome outcome)
{
    constexpr std::array<std::string_view, 5> names{"not_run", "may_have_run", "failed", "failed",
                                                    "succeeded"};
    return names.at(static_cast<std::size_t>(outcome));
}

final_answer choose_final_answer(const final_answer_facts& facts)
{
    if (facts.has_begun) {
        return final_answer::abort_stream;
    }
    // From these statuses the caller would conclude that the request has not run and repeat it, but
    // a runner may have run it.
    const bool is_false_promise = promises_not_run(facts.failure_status) && !facts.is_repeatable;
    if (facts.has_failure && !is_false_promise) {
        return final_answer::pass_failure;
    }
    // If the request may run more than once, "not run" tells the caller that it can send it again.
    if (!facts.may_have_run || facts.is_repeatable) {
        return final_answer::not_run;
    }
    return final_answer::unknown;
}

} // namespace cedarpoint

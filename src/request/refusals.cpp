#include "cedarpoint/request/refusals.h"

namespace cedarpoint::refusals {
namespace {

// Retry hints for callers.
constexpr milliseconds short_retry{1000}; ///< capacity or a stopped process may be available again
constexpr milliseconds claim_retry{2000}; ///< the claim's holder or home must answer first

/// A quarantine lasts until the daemons discard its record.
constexpr milliseconds quarantine_retry{3'600'000};

} // namespace

refusal stopping()
{
    return {error_code::shutting_down, run_state::not_run, "this daemon is stopping", short_retry};
}

refusal quarantined()
{
    return {error_code::quarantined, run_state::not_run,
            "this request has ended the runners that ran it and is sent to none", quarantine_retry};
}

refusal unknown_key()
{
    return {error_code::unauthorized, run_state::not_run, "no account has this key", {}};
}

refusal priority_not_allowed()
{
    return {error_code::forbidden_priority,
            run_state::not_run,
            "the account may not ask for this priority",
            {}};
}

refusal deadline_passed_on_arrival()
{
    return {error_code::deadline_passed, run_state::not_run, "the deadline has passed", {}};
}

refusal no_route_for(const model_id& model)
{
    return {error_code::unknown_model,
            run_state::not_run,
            "no routing rule serves model \"" + model.str() + "\" to this account",
            {}};
}

refusal no_service_at_path()
{
    return {error_code::unknown_path, run_state::not_run, "no service has this path", {}};
}

refusal too_many_in_flight()
{
    return {error_code::too_many_in_flight, run_state::not_run,
            "the account has its most requests in flight", short_retry};
}

refusal over_rate(milliseconds wait)
{
    return {error_code::rate_limited, run_state::not_run,
            "the account is over its requests a minute", wait};
}

refusal not_claimed(claim_verdict verdict)
{
    switch (verdict) {
    case claim_verdict::running:
        return {error_code::claim_running, run_state::may_have_run,
                "a request with this key is running", claim_retry};
    case claim_verdict::already_ran:
        return {error_code::already_ran, run_state::ran, "the request with this key ran", {}};
    case claim_verdict::unknown_outcome:
        return {error_code::upstream_failed,
                run_state::may_have_run,
                "an earlier request with this key may have run",
                {}};
    default:
        return {error_code::claim_unavailable, run_state::not_run,
                "the account's home failure domain can't be asked", claim_retry};
    }
}

refusal deadline_passed_while_claiming()
{
    return {error_code::deadline_passed, run_state::not_run, "the deadline passed", {}};
}

refusal queue_full()
{
    return {error_code::queue_full, run_state::not_run, "the queue is full", short_retry};
}

refusal displaced()
{
    return {error_code::queue_full, run_state::not_run,
            "gave its place to a request of a higher class", short_retry};
}

refusal deadline_passed_in_queue()
{
    return {
        error_code::deadline_passed, run_state::not_run, "the deadline passed in the queue", {}};
}

refusal no_capacity_in_time()
{
    return {error_code::no_group, run_state::not_run, "nothing could serve it in time",
            short_retry};
}

refusal no_group_to_resume()
{
    return {error_code::answer_cut, run_state::ran_cut, "no group could go on with the answer", {}};
}

refusal runner_failed()
{
    return {error_code::upstream_failed, run_state::may_have_run, "the runner failed", {}};
}

refusal runner_failed_while_answering()
{
    return {error_code::answer_cut, run_state::ran_cut, "the runner failed during the answer", {}};
}

refusal no_runner_accepted()
{
    return {error_code::no_group, run_state::not_run, "no runner took the request", short_retry};
}

} // namespace cedarpoint::refusals

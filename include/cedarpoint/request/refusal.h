#pragma once

#include "cedarpoint/core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Whether a request that ended in an error ran, as far as is known. Tells the caller whether a
/// retry can run it twice.
enum class run_state {
    not_run,      ///< no runner took it: safe to retry
    may_have_run, ///< a runner may have taken it
    ran_cut,      ///< it ran, the answer was cut off
    ran           ///< an earlier call with the same idempotency key ran to its end
};

/// Every error that a caller can get; `describe` maps it to HTTP.
enum class error_code {
    bad_request,
    body_too_large,
    head_too_large,
    timed_out_reading,
    unauthorized,
    forbidden_priority,
    unknown_model,
    unknown_path,
    rate_limited,
    too_many_in_flight,
    queue_full,
    no_group,
    deadline_passed,
    shutting_down,
    claim_unavailable,
    claim_running,
    already_ran,
    upstream_failed,
    answer_cut,
    too_many_connections,
    quarantined
};

/// How an error looks on the wire.
struct error_shape {
    int status = 0;        ///< HTTP
    std::string_view name; ///< `error.code` in the body
};

error_shape describe(error_code it);
/// `error.ran` in the body.
std::string_view name_of(run_state it);

/// The error response to a request that a runner did not answer.
struct refusal {
    error_code code = error_code::bad_request;
    run_state ran = run_state::not_run;
    std::string text;
    std::optional<milliseconds> retry_after; ///< empty: no hint when to retry
};

/// The response body: {"error":{"code","ran","message","request_id","retry_after_ms"}}, the last
/// only if there is a hint.
std::string to_json(const refusal& it, std::string_view request);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Whether a request that ended in an error was run, as far as is known. It shows the caller
/// whether a retry could run it twice.
enum class run_state {
    not_run,      ///< no runner accepted it: safe to retry
    may_have_run, ///< a runner may have accepted it
    ran_cut,      ///< it ran, but the response was cut off
    ran           ///< an earlier request with the same idempotency key completed
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
    quarantined,
    no_memory
};

/// The HTTP representation of an error code.
struct http_error {
    int status = 0;        ///< HTTP status
    std::string_view name; ///< `error.code` in the body
};

http_error describe(error_code it);
/// Returns the value of `error.ran` in the body.
std::string_view name_of(run_state it);

/// An error that the daemon itself returns to the caller.
struct refusal {
    error_code code = error_code::bad_request;
    run_state ran = run_state::not_run;
    std::string text;
    std::optional<milliseconds> retry_after; ///< empty: no retry hint
};

/// Returns the response body: {"error":{"code","ran","message","request_id","retry_after_ms"}}.
/// The last field is present only if there is a retry hint.
std::string to_json(const refusal& it, std::string_view request);

} // namespace cedarpoint

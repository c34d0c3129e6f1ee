#pragma once

#include "cedarpoint/core/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// What a caller may conclude about its request when it gets an error.
enum class run_state {
    not_run,      ///< nothing reached a runner: safe to send again
    may_have_run, ///< a runner may have taken it
    ran_cut,      ///< it ran, the answer was cut off
    ran           ///< it ran to its end, at an earlier call with the same key
};

/// Every error that a caller can get. `describe` gives the status and the name.
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
    too_many_connections
};

/// How an error looks on the wire.
struct error_shape {
    int status = 0;
    std::string_view name;
};

error_shape describe(error_code it);
std::string_view name_of(run_state it);

/// The final answer to a request that gets none from a runner.
struct refusal {
    error_code code = error_code::bad_request;
    run_state ran = run_state::not_run;
    std::string text;
    std::optional<milliseconds> retry_after;
};

/// The machine-readable body: {"error":{"code","ran","message","request_id"}}.
std::string to_json(const refusal& it, std::string_view request);

} // namespace cedarpoint

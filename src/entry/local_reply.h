#pragma once

#include <string_view>

namespace cedarpoint {

/// The responses that an entry daemon generates itself instead of forwarding a runner's.
enum class local_reply {
    no_configuration,
    no_route,
    unknown_key,
    not_run,          ///< no runner accepted it: it has not run, or is safe to repeat
    outcome_unknown,  ///< a runner may have run it, and its answer did not arrive
    expired_not_run,  ///< the deadline has passed, and the request has not run
    expired,          ///< the deadline has passed, and the request may have run
    quarantined,      ///< it crashed the runners that ran it earlier; this time it has not run
    quarantined_part, ///< a part of its prompt crashed runners; this time it has not run
    no_memory,        ///< its body was not read; it has not run
    stopping          ///< it came too late before the daemon's stop; it has not run
};

/// How such a response is written to the caller and to the log.
struct local_reply_spec {
    local_reply kind;
    int status;
    std::string_view wire_text; ///< the body's error text; must not change: callers may match it
    std::string_view log_cause;
    std::string_view retry_after; ///< seconds; set only where the request has not run
};

/// Retry-After in seconds for a refusal that is likely to be short, such as lack of capacity.
inline constexpr std::string_view short_retry_after = "0.25";

[[nodiscard]] const local_reply_spec& spec_of(local_reply kind);

} // namespace cedarpoint

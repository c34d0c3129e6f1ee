#pragma once

#include <string_view>

namespace cedarpoint {

/// The answers that an entry daemon gives itself, without or in place of a runner's.
enum class own_answer {
    no_configuration,
    no_route,
    unknown_key,
    not_run,         ///< no runner took it; it has not run, or may run again
    outcome_unknown, ///< a runner may have run it, and its answer did not come
    expired_unrun,   ///< the deadline has passed, and it has not run
    expired          ///< the deadline has passed, and it may have run
};

/// How an own answer looks, to the caller and in the log.
struct own_answer_shape {
    own_answer kind;
    int status;
    std::string_view wire_text; ///< in the body; callers may know it, so it stays as it is
    std::string_view log_cause;
    bool invites_retry; ///< with Retry-After: only where it has not run
};

[[nodiscard]] const own_answer_shape& shape_of(own_answer kind);

/// The value of Retry-After, in seconds. Refusals are for want of room, which a group's repair ends
/// within seconds. Measured against 1 s: no difference beyond the spread of runs
/// (docs/MEASUREMENTS.md, "come back after 1 s" and "after 0.25 s").
inline constexpr std::string_view retry_after_seconds = "0.25";

} // namespace cedarpoint

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
    expired,         ///< the deadline has passed, and it may have run
    quarantined      ///< it ended the runners that ran it earlier; this time it has not run
};

/// How an own answer looks, to the caller and in the log.
struct own_answer_shape {
    own_answer kind;
    int status;
    std::string_view wire_text; ///< in the body; callers may know it, so it stays as it is
    std::string_view log_cause;
    std::string_view retry_after; ///< seconds; only where it has not run. Empty: none
};

/// Seconds after which a caller that was refused for want of room may find some.
inline constexpr std::string_view retry_soon = "0.25";

[[nodiscard]] const own_answer_shape& shape_of(own_answer kind);

} // namespace cedarpoint

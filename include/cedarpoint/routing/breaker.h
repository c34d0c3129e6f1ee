#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Keeps requests away from one upstream that fails time after time. Closed, it lets all through;
/// after `failures_to_open` failures in a row it opens; when `open_time` has passed it lets one
/// trial through, whose success closes it and whose failure starts the time anew.
/// Owns the count of failures. Relies on its user to ask before sending and to report each end.
class breaker {
public:
    /// Failures in a row.
    static constexpr int failures_to_open = 3;
    /// From the last failure to the trial, and from one trial to the next.
    static constexpr duration open_time = seconds{5};

    [[nodiscard]] bool allows(instant now) const;
    /// A request is about to be sent. While open this takes the one trial.
    void on_dispatch(instant now);
    void on_success();
    void on_failure(instant now);

private:
    [[nodiscard]] bool is_open() const { return failures_ >= failures_to_open; }

    int failures_ = 0;   ///< since the last success
    instant retry_at_{}; ///< the next trial, while open
};

} // namespace cedarpoint

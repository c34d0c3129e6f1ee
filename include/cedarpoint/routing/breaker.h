#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Circuit breaker for one upstream. While closed, it allows all requests. It opens after
/// `failures_to_open` consecutive failures. When `open_time` has passed it allows one trial
/// request: a success closes the breaker, a failure starts `open_time` again.
/// Owns the failure count. The user must call `allows` before sending and report the end of each
/// request.
class breaker {
public:
    /// Number of consecutive failures.
    static constexpr int failures_to_open = 3;
    /// Time from the last failure to the trial, and from one trial to the next.
    static constexpr duration open_time = seconds{5};

    [[nodiscard]] bool allows(instant now) const;
    /// Called before a request is sent. While the breaker is open, that request is the trial.
    void on_dispatch(instant now);
    void on_success();
    void on_failure(instant now);

private:
    [[nodiscard]] bool is_open() const { return failures_ >= failures_to_open; }

    int failures_ = 0;   ///< since the last success
    instant retry_at_{}; ///< time of the next trial while open
};

} // namespace cedarpoint

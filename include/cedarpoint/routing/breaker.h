#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// Keeps work away from an upstream that fails time after time, then lets one trial through.
class breaker {
public:
    static constexpr int failures_to_open = 3;
    static constexpr duration open_time = seconds{5};

    [[nodiscard]] bool allows(instant now) const;
    /// The caller is about to send work. While half open this takes the one trial.
    void on_dispatch(instant now);
    void on_success();
    void on_failure(instant now);

private:
    [[nodiscard]] bool is_open() const { return failures_ >= failures_to_open; }

    int failures_ = 0;
    instant retry_at_{};
};

} // namespace cedarpoint

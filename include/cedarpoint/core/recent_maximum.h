#pragma once

#include "cedarpoint/core/time.h"

#include <algorithm>

namespace cedarpoint {

/// The longest of the durations that were seen of late: in the present window of a minute, or in
/// the one before.
class recent_maximum {
public:
    void add(instant now, duration value)
    {
        if (now - window_began_ >= window_length) {
            const bool is_next = now - window_began_ < 2 * window_length;
            earlier_ = is_next ? present_ : duration{};
            present_ = {};
            window_began_ = now;
        }
        present_ = std::max(present_, value);
    }
    [[nodiscard]] duration value() const { return std::max(present_, earlier_); }

private:
    static constexpr duration window_length = std::chrono::minutes{1};

    duration present_{};
    duration earlier_{};
    instant window_began_;
};

} // namespace cedarpoint

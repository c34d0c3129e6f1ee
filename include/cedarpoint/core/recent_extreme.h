#pragma once

#include "cedarpoint/core/time.h"

#include <algorithm>
#include <functional>
#include <optional>

namespace cedarpoint {

/// The extreme (minimum or maximum) of the durations added in the current one-minute window and in
/// the window before it. `Precedes(a, b)` is true if `a` is less extreme than `b`.
template <class Precedes>
class recent_extreme {
public:
    void add(instant now, duration value)
    {
        if (now - window_began_ >= window_length) {
            const bool is_next = now - window_began_ < 2 * window_length;
            earlier_ = is_next ? present_ : std::nullopt;
            present_.reset();
            window_began_ = now;
        }
        present_ = std::max(present_.value_or(value), value, Precedes{});
    }
    /// Returns empty until the first call of `add`.
    [[nodiscard]] std::optional<duration> value() const
    {
        if (!present_ || !earlier_) {
            return present_;
        }
        return std::max(*present_, *earlier_, Precedes{});
    }

private:
    static constexpr duration window_length = std::chrono::minutes{1};

    std::optional<duration> present_;
    std::optional<duration> earlier_;
    instant window_began_;
};

using recent_maximum = recent_extreme<std::less<>>;
using recent_minimum = recent_extreme<std::greater<>>;

} // namespace cedarpoint

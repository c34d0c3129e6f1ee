#pragma once

#include "cedarpoint/core/time.h"

#include <cstddef>
#include <deque>

namespace cedarpoint {

/// Bounds how many loads from the weight store begin within a time and run at once. Keeps the rule
/// CEILING (docs/RULES-KEPT.md): the store's published rate holds for all runners together.
class load_limiter {
public:
    void set_limits(double per_second, int at_once);
    /// Lifts both bounds: loads that begin before the first request are short, and the store does
    /// not count them.
    void set_unmetered(bool unmetered) { unmetered_ = unmetered; }

    /// True if `count` more loads may begin now, while `running` are under way.
    [[nodiscard]] bool allows(instant now, std::size_t count, std::size_t running) const;
    /// The same for one load that nothing waits for.
    [[nodiscard]] bool allows_background(instant now, std::size_t running) const;
    void begin(instant now, std::size_t count);

private:
    [[nodiscard]] bool has_room(std::size_t count, std::size_t running) const;
    [[nodiscard]] bool is_within_rate(instant now, std::size_t count) const;

    double per_second_ = 1;
    std::size_t at_once_ = 1;
    bool unmetered_ = false;
    std::deque<instant> begun_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

#include <cstddef>
#include <deque>

namespace cedarpoint {

/// Limits the rate at which loads from the weight store begin and the number that run concurrently.
/// Keeps the rule CEILING (docs/RULES-KEPT.md): the store's published rate applies to all runners
/// together.
class weight_load_limiter {
public:
    void set_limits(double per_second, int max_concurrent);
    /// If true, neither limit applies. Loads that begin before the first request are short, and the
    /// store does not count them.
    void set_unmetered(bool unmetered) { unmetered_ = unmetered; }

    /// Returns true if `count` more loads may begin now while `running` loads are in progress.
    [[nodiscard]] bool allows(instant now, std::size_t count, std::size_t running) const;
    /// Returns true if a load that no group waits for may begin now. Unless loads are unmetered, it
    /// begins only while no other load runs.
    [[nodiscard]] bool allows_background(instant now, std::size_t running) const;
    /// Records that `count` loads begin.
    void begin(instant now, std::size_t count);

private:
    [[nodiscard]] bool has_room(std::size_t count, std::size_t running) const;
    [[nodiscard]] bool is_within_rate(instant now, std::size_t count) const;

    double per_second_ = 1;
    std::size_t max_concurrent_ = 1;
    bool unmetered_ = false;
    std::deque<instant> begin_times_;
};

} // namespace cedarpoint

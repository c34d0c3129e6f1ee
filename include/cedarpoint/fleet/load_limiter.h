#pragma once

#include "cedarpoint/core/time.h"

#include <cstddef>
#include <deque>

namespace cedarpoint {

/// Bounds how many loads from the weight store begin and run at a time.
class load_limiter {
public:
    void set_limits(double per_second, int at_once);
    /// Before requests come the store is not shared with anyone, and no rate holds.
    void set_unmetered(bool unmetered) { unmetered_ = unmetered; }

    /// True if `count` more loads may begin now.
    [[nodiscard]] bool allows(instant now, std::size_t count, std::size_t running) const;
    void begin(instant now, std::size_t count);

private:
    double per_second_ = 1;
    std::size_t at_once_ = 1;
    bool unmetered_ = false;
    std::deque<instant> begun_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

#include <cmath>

namespace cedarpoint {

/// Event count that decays exponentially with a time constant of one second, so that its value
/// approximates the current rate per second.
class decaying_count {
public:
    void add(instant now, double count)
    {
        value_ = value(now) + count;
        at_ = now;
    }
    [[nodiscard]] double value(instant now) const
    {
        return value_ * std::exp(-std::chrono::duration<double>(now - at_).count());
    }

private:
    double value_ = 0;
    instant at_;
};

} // namespace cedarpoint

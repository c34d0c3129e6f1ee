#pragma once

#include "cedarpoint/core/time.h"

#include <cmath>

namespace cedarpoint {

/// Events of about the latest second: what was counted decays with a time constant of one second,
/// so that the value is a rate per second as well.
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

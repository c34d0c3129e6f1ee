#pragma once

#include <algorithm>

namespace cedarpoint {

/// Bounds repeats to a share of first attempts, so that failures do not multiply the load.
class retry_budget {
public:
    static constexpr double share = 0.1;
    static constexpr double most = 20;

    void on_first_attempt() { tokens_ = std::min(most, tokens_ + share); }
    /// True if one more repeat may be made; takes it.
    bool take()
    {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_ = most;
};

} // namespace cedarpoint

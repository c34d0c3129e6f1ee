#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cedarpoint {

/// How long the requests of all entry daemons wait at each runner: between two events of a stream,
/// or for the answer of a plain runner. A runner is slow by comparison with its peers, never by
/// itself: load and long prompts slow all of them.
class pace_board {
public:
    /// Takes the waits that one entry daemon saw since its last word.
    void note(instant now, const runner_id& runner, std::uint32_t waits, duration waited);
    /// Those of `peers` that have lately been clearly slower than the middle one of them, and how
    /// many times: a power of two, so that it rarely changes.
    [[nodiscard]] std::map<runner_id, std::uint32_t>
    slow_among(instant now, const std::vector<runner_id>& peers) const;
    void clear() { paces_.clear(); }

private:
    struct pace {
        double wait_us = 0; ///< a moving mean
        std::uint32_t waits = 0;
        instant at;
    };
    [[nodiscard]] const pace* known(instant now, const runner_id& runner) const;

    std::map<runner_id, pace> paces_;
};

} // namespace cedarpoint

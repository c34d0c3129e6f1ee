#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cedarpoint {

/// Tracks how long requests wait at each runner: between two events of a stream, or for the answer
/// of a plain runner. A runner is slow only in comparison with its peers: load and long prompts
/// slow all of them.
class latency_tracker {
public:
    /// Adds the waits that one entry daemon observed since its previous report: how many, and
    /// their sum.
    void record(instant now, const runner_id& runner, std::uint32_t waits, duration waited);
    /// The runners among `peers` that are clearly slower than the median one, and how many times
    /// slower: a power of two, so that the figure rarely changes.
    [[nodiscard]] std::map<runner_id, std::uint32_t>
    slow_among(instant now, const std::vector<runner_id>& peers) const;
    void clear() { means_.clear(); }

private:
    struct moving_mean {
        double wait_us = 0;
        std::uint32_t waits = 0; ///< counted up to the number that makes the mean usable
        instant at;
    };
    /// The runner's mean, or null if it is old or rests on too few waits.
    [[nodiscard]] const moving_mean* usable_mean(instant now, const runner_id& runner) const;

    std::map<runner_id, moving_mean> means_;
};

} // namespace cedarpoint

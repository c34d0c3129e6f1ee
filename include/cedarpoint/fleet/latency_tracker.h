#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cedarpoint {

/// Tracks how long requests wait at each runner: between two events of a stream, or for the answer
/// of a plain runner. Runners are compared only with their peers, because load and long prompts
/// slow all of them.
class latency_tracker {
public:
    /// Adds the number and the sum of the waits that one entry daemon observed since its previous
    /// report.
    void record(instant now, const runner_id& runner, std::uint32_t waits, duration waited);
    /// Returns the runners among `peers` that are clearly slower than their median, each with the
    /// factor. It is rounded to a power of two, so that it rarely changes.
    [[nodiscard]] std::map<runner_id, std::uint32_t>
    slow_runners(instant now, const std::vector<runner_id>& peers) const;
    void clear() { means_.clear(); }

private:
    struct moving_mean {
        double wait_us = 0;
        std::uint32_t waits = 0; ///< counted up to the minimum for a usable mean
        instant at;
    };
    /// Returns the runner's mean; null if it is out of date or based on too few waits.
    [[nodiscard]] const moving_mean* usable_mean(instant now, const runner_id& runner) const;

    std::map<runner_id, moving_mean> means_;
};

} // namespace cedarpoint

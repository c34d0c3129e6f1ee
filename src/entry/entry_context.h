#pragma once

#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/fleet/route_table.h"
#include "cedarpoint/fleet/target_set.h"
#include "cedarpoint/fleet/windowed_retry_budget.h"
#include "entry/entry_metrics.h"
#include "io/runner_pool.h"

#include <map>
#include <memory>
#include <random>

namespace cedarpoint {

/// Requests for a model since the leader was told last.
struct demand_count {
    std::uint32_t started = 0;
    std::uint32_t refused = 0;
};

/// What the requests of one entry daemon share.
struct entry_context {
    const platform_adapter& platform;
    std::shared_ptr<const route_table> routes; ///< null before the first configuration
    target_set targets;
    windowed_retry_budget budget;
    runner_pool pool;
    entry_metrics figures;
    std::size_t daemons = 0; ///< entry daemons that share limits; 0: not known yet
    std::mt19937_64 random;
    std::map<model_id, demand_count> demand;
    bool stopping = false;
};

} // namespace cedarpoint

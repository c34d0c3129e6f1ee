#pragma once

#include "cedarpoint/fleet/health_report.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/fleet/route_table.h"
#include "cedarpoint/fleet/target_set.h"
#include "cedarpoint/fleet/windowed_retry_budget.h"
#include "cedarpoint/quarantine/crash_witness.h"
#include "entry/entry_metrics.h"
#include "io/runner_pool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace cedarpoint {

/// What the requests of one entry daemon share.
struct entry_context {
    const platform_adapter& platform;
    std::shared_ptr<const route_table> routes; ///< null before the first configuration
    target_set targets;
    windowed_retry_budget budget;
    runner_pool pool;
    entry_metrics metrics;
    std::size_t entry_daemons = 0; ///< that share the retry budget; 0: not known yet
    std::mt19937_64 random;
    std::map<model_id, model_demand> demand; ///< since the latest report
    std::function<void()> hurry_report;      ///< the leader is to learn something soon
    crash_witness crashes;
    /// A runner has closed a connection without an answer: whether it has ended is to be found out.
    std::function<void(const runner_id&, const endpoint&)> check_runner_end;
    bool stopping = false;
};

} // namespace cedarpoint

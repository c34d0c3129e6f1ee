#pragma once

#include "cedarpoint/fleet/answer_memory.h"
#include "cedarpoint/fleet/answer_times.h"
#include "cedarpoint/fleet/entry_peers.h"
#include "cedarpoint/fleet/health_report.h"
#include "cedarpoint/fleet/planned_stop.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/fleet/route_table.h"
#include "cedarpoint/fleet/target_set.h"
#include "cedarpoint/fleet/windowed_retry_budget.h"
#include "cedarpoint/quarantine/crash_detector.h"
#include "entry/entry_metrics.h"
#include "io/runner_pool.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace cedarpoint {

/// State shared by all requests of one entry daemon.
struct entry_context {
    const platform_adapter& platform;
    std::shared_ptr<const route_table> routes; ///< null before the first configuration
    std::string name;                          ///< of this daemon, for logs
    target_set targets;
    entry_peers peers;
    windowed_retry_budget budget;
    runner_pool pool;
    answer_memory answers; ///< held until they are complete
    entry_metrics metrics;
    std::size_t entry_daemons = 0; ///< entry daemons that share the retry budget; 0: not known yet
    std::mt19937_64 random;
    std::map<model_id, model_demand> demand;   ///< requests since the latest report
    std::function<void()> request_report_soon; ///< sends a health report with the next tick
    crash_detector crashes;
    /// Starts a check of whether a runner that closed a connection without an answer has
    /// terminated.
    std::function<void(const runner_id&, const endpoint&)> check_runner_end;
    std::optional<planned_stop> stop; ///< set once the daemon stops
    answer_times answer_time;         ///< of the routes' requests
};

} // namespace cedarpoint

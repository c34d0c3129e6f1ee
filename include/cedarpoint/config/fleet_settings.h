#pragma once

#include "cedarpoint/config/fault.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/retry_budget_options.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The part of a fleet that a process takes.
enum class fleet_role {
    control, ///< votes on the configuration, keeps the registry, forms groups
    entry    ///< takes callers' requests and follows the control daemons
};

/// What one process of a fleet learns from its own file. Other daemons are found from the seeds.
struct fleet_settings {
    fleet_role role = fleet_role::entry;
    std::string name; ///< for logs
    failure_domain_id failure_domain;
    endpoint address;                ///< for other daemons; its port is the same on all of them
    std::optional<endpoint> bind;    ///< where it listens for them, if not at `address`
    std::optional<endpoint> callers; ///< entry: callers' requests
    std::optional<endpoint> ready;   ///< entry: the balancer's questions
    std::optional<endpoint> control; ///< control: operators' and runners' calls
    std::optional<endpoint> metrics;
    std::string data_folder;          ///< control: where state lasts
    std::vector<endpoint> seeds;      ///< `control` addresses of some control daemons
    std::size_t tolerated_losses = 1; ///< control: voters that may be lost at once
    bool first_start = false;         ///< the whole system starts for the first time
    milliseconds heartbeat{1200};     ///< between two heartbeats of a runner
    /// A head without its members breaks after this. Read and checked so that files which give it
    /// stay valid; no decision goes by it any more.
    milliseconds stall{4000};
    milliseconds stop_bound{8000}; ///< a planned stop ends within this
    retry_budget_options budget;   ///< entry: repeats beyond first attempts
    bool json_logs = false;

    /// Reads a settings file. Empty if anything is wrong; `out` then names every fault.
    static std::optional<fleet_settings> parse(std::string_view text, faults& out);
};

} // namespace cedarpoint

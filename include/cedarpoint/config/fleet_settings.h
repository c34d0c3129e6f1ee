#pragma once

#include "cedarpoint/config/fault.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/retry_budget_options.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The role of a process in a fleet.
enum class fleet_role {
    control, ///< votes on the configuration, keeps the runner registry, forms groups
    entry    ///< serves callers' requests; receives the fleet's state from the control daemons
};

/// Settings of one daemon of a fleet. Other daemons are discovered through the seeds.
struct fleet_settings {
    fleet_role role = fleet_role::entry;
    std::string name; ///< used in logs only
    failure_domain_id failure_domain;
    endpoint address;                ///< advertised to other daemons; all daemons use the same port
    std::optional<endpoint> bind;    ///< local address to listen on, if not `address`
    std::optional<endpoint> callers; ///< entry: listener for callers' requests
    /// Entry: listener for requests that other entry daemons send through this one. Without it, it
    /// accepts none.
    std::optional<endpoint> forwards;
    std::optional<endpoint> ready;   ///< entry: listener for the load balancer's readiness checks
    std::optional<endpoint> control; ///< control: listener for calls of operators and runners
    std::optional<endpoint> metrics;
    std::string data_folder;          ///< control: folder of durable state
    std::vector<endpoint> seeds;      ///< `control` addresses of some control daemons
    std::size_t tolerated_losses = 1; ///< control: number of voters that may fail at once
    bool first_start = false; ///< control: the fleet is new, and the seeds are its initial voters
    milliseconds heartbeat{1200}; ///< interval between two heartbeats of a runner
    /// Time after which a group head that has lost its members fails. Parsed and checked so that
    /// existing files stay valid; no decision depends on it.
    milliseconds stall{4000};
    milliseconds stop_bound{8000}; ///< longest duration of a graceful shutdown
    /// Bytes of memory that the process may use. The bounds of what requests and answers hold are
    /// parts of it.
    std::size_t memory_bytes = 260'000'000;
    retry_budget_options budget; ///< entry: retries beyond first attempts
    bool json_logs = false;

    /// Parses a settings file. Returns nothing if it is invalid; `out` then lists every fault.
    static std::optional<fleet_settings> parse(std::string_view text, faults& out);
};

/// Returns the ids of the daemons at the seeds. All daemons use the same port for each other.
[[nodiscard]] std::vector<daemon_id> seed_daemons(const fleet_settings& daemon_settings);

/// Reads the settings file again. Returns the daemons at its present seeds; nothing if it can't be
/// read or is invalid.
using seed_reader = std::function<std::vector<daemon_id>()>;

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/groups/group_table.h"
#include "cedarpoint/groups/placement.h"
#include "cedarpoint/groups/runner_watch.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// An order to a runner. Runners that check epochs refuse an order with an older epoch.
struct runner_order {
    runner_id runner;
    endpoint address;
    epoch assignment;
    bool load = true; ///< false: stop and become idle
    group_id group;
    int rank = 0; ///< rank in the group; rank 0 receives the requests
    int size = 0; ///< number of nodes of the group
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    group_role role = group_role::converged;
};

/// A change of the group table that the controller proposes to the failure domain's log.
struct group_proposal {
    group_record record;                   ///< for a new assignment: the nodes and what to load
    group_state to = group_state::loading; ///< `loading`: a new assignment
    epoch floor;                           ///< the epoch of a new assignment is above this
    std::string why;
};

/// The output of one step of the controller.
struct control_step {
    std::vector<group_proposal> proposals;
    std::vector<runner_order> orders;
};

/// Operators' drain marks: the marked groups, and groups with marked nodes or runners, are drained
/// and not formed again.
struct drain_marks {
    std::set<node_id> nodes;
    std::set<group_id> groups;
    std::set<runner_id> runners;
    friend bool operator==(const drain_marks&, const drain_marks&) = default;
};

/// Options of the controller. `domain` and `grant_ttl` come from the settings; the others keep the
/// defaults.
struct control_options {
    failure_domain_id domain;
    /// Time between two transmissions of an order to the same runner.
    duration order_interval = seconds{1};
    /// Lifetime of a grant (`settings::grant_ttl`): a daemon sends requests to a group for at most
    /// this long after its last grant.
    duration grant_ttl = seconds{3};
    /// Bound on the drift between two daemons' clocks over the lifetime of a grant.
    duration drift = milliseconds{500};
    /// Bound on the age of a report when it arrives. A drain waits for this time.
    duration report_lag = seconds{1};
    /// Time after the expiry of the last grant within which a runner that does not check epochs has
    /// ended all earlier requests (docs/DESIGN.md, Groups).
    duration in_flight_bound = seconds{60};
    /// Time after which a draining group is stopped even if requests are in flight.
    duration drain_bound = seconds{600};
    /// Maximum number of groups that load at the same time, to limit the load on the weight store.
    int loads_at_once = 2;
};

/// Forms, drains and repairs the groups of one failure domain, on the daemon that holds the
/// domain's lease. It only proposes changes, which the replicated group table accepts or refuses.
/// Orders are based on committed records only.
/// Owns the times of each group's last state change and each runner's last order, which are
/// discarded with the lease. Depends on the group table, the runners' reports and a caller that
/// holds the lease.
class group_controller {
public:
    group_controller(control_options options, std::unique_ptr<placement_strategy> placement);

    /// Makes one pass over all groups and nodes. Level-triggered: proposals and orders are repeated
    /// until the committed state and the reports reflect them.
    [[nodiscard]] control_step step(instant now, const configuration& config,
                                    const group_table& groups, const runner_watch& watch,
                                    const drain_marks& drains);
    /// Clears all timers. Called at the start of a new lease.
    void reset();

private:
    struct context;

    void step_group(const context& in, const group_record& it, control_step& out);
    void step_loading(const context& in, const group_record& it, control_step& out);
    void step_serving(const context& in, const group_record& it, control_step& out);
    void step_draining(const context& in, const group_record& it, control_step& out);
    void step_ended(const context& in, const group_record& it, control_step& out);
    /// Returns the declared groups without nodes, except those with a drain mark.
    [[nodiscard]] std::vector<placement_need> find_missing(const context& in) const;
    /// Returns the nodes that can be assigned to a group.
    [[nodiscard]] static free_nodes find_free_nodes(const context& in);
    void place_missing(const context& in, control_step& out) const;
    void order_members(const context& in, const group_record& it, bool load, control_step& out);
    [[nodiscard]] std::string loss_reason(const context& in, const group_record& it) const;
    [[nodiscard]] std::string removal_reason(const context& in, const group_record& it) const;
    [[nodiscard]] instant since(instant now, const group_record& it);

    struct state_entry {
        epoch assignment;
        group_state state = group_state::loading;
        instant since;
    };

    control_options options_;
    std::unique_ptr<placement_strategy> placement_;
    std::map<group_id, state_entry> entered_;
    std::map<runner_id, instant> ordered_;
};

} // namespace cedarpoint

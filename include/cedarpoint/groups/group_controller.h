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

/// An order to a runner. Runners that check epochs refuse one of an older epoch.
struct runner_order {
    runner_id runner;
    endpoint address;
    epoch assignment;
    bool load = true; ///< false: stop and become idle
    group_id group;
    int rank = 0; ///< place in the group; 0 takes the requests
    int size = 0; ///< nodes of the group
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    group_role role = group_role::converged;
};

/// A change of the group table that the controller proposes to the domain's log.
struct group_proposal {
    group_record record;                   ///< for an assignment: nodes and what to load
    group_state to = group_state::loading; ///< loading: a new assignment
    epoch floor;                           ///< a new assignment's epoch is above this
    std::string why;
};

/// The output of one step of the controller.
struct control_step {
    std::vector<group_proposal> proposals;
    std::vector<runner_order> orders;
};

/// Operators' drain marks: these groups, and groups with these nodes or runners, are drained and
/// not formed again.
struct drain_marks {
    std::set<node_id> nodes;
    std::set<group_id> groups;
    std::set<runner_id> runners;
    friend bool operator==(const drain_marks&, const drain_marks&) = default;
};

/// Bounds on control. `domain` and `grant_ttl` come from settings; the others have the values here.
struct control_options {
    failure_domain_id domain;
    /// Between two sendings of the same order to a runner.
    duration order_interval = seconds{1};
    /// A daemon sends requests to a group for at most this long after its last grant
    /// (`settings::grant_ttl`).
    duration grant_ttl = seconds{3};
    /// Two daemons' clocks run apart by at most this over one grant.
    duration drift = milliseconds{500};
    /// A report is at most this old when it arrives; a drain waits for it.
    duration report_lag = seconds{1};
    /// A runner that checks no epoch has ended all old work this long after the last grant
    /// (docs/DESIGN.md, Groups).
    duration in_flight_bound = seconds{60};
    /// A draining group is stopped after this, with requests in flight or without.
    duration drain_bound = seconds{600};
    /// Groups that load at the same time, to spare the weight store.
    int loads_at_once = 2;
};

/// Forms, drains and repairs the groups of one failure domain, on the daemon that holds the
/// domain's lease. It proposes; the replicated group table accepts or refuses. Orders follow
/// committed records only.
/// Owns: timers since a group's last state change and since a runner's last order; both are lost
/// with the lease. Relies on: the group table, the runners' reports, and its caller to hold the
/// lease.
class group_controller {
public:
    group_controller(control_options options, std::unique_ptr<placement_strategy> placement);

    /// One pass over all groups and nodes. Level-triggered: it repeats proposals and orders until
    /// the committed state and the reports show them.
    [[nodiscard]] control_step step(instant now, const configuration& config,
                                    const group_table& groups, const runner_watch& watch,
                                    const drain_marks& drains);
    /// Clears the timers; for the start of a new lease.
    void reset();

private:
    struct context;

    void look_at_group(const context& in, const group_record& it, control_step& out);
    void look_at_loading(const context& in, const group_record& it, control_step& out);
    void look_at_serving(const context& in, const group_record& it, control_step& out);
    void look_at_draining(const context& in, const group_record& it, control_step& out);
    void look_at_ended(const context& in, const group_record& it, control_step& out);
    /// Groups that are declared and have no nodes.
    [[nodiscard]] std::vector<placement_need> find_missing(const context& in) const;
    /// Nodes that a group could get.
    [[nodiscard]] static free_nodes find_free_nodes(const context& in);
    void place_missing(const context& in, control_step& out) const;
    void order_members(const context& in, const group_record& it, bool load, control_step& out);
    [[nodiscard]] std::string why_lost(const context& in, const group_record& it) const;
    [[nodiscard]] std::string why_unwanted(const context& in, const group_record& it) const;
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

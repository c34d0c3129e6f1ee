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

/// What a runner is told to do. Orders of an older epoch are refused by runners that check it.
struct runner_order {
    runner_id runner;
    endpoint address;
    epoch assignment;
    bool load = true; ///< false: stop and become idle
    group_id group;
    int rank = 0; ///< place in the group; 0 takes the requests
    int size = 0;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    group_role role = group_role::converged;
};

/// A change that the controller wants committed.
struct group_proposal {
    group_record record;                   ///< for an assignment: nodes and what to load
    group_state to = group_state::loading; ///< loading: a new assignment
    epoch floor;                           ///< no new epoch at or below this
    std::string why;
};

/// What one look at the domain comes to.
struct control_step {
    std::vector<group_proposal> proposals;
    std::vector<runner_order> orders;
};

/// Operators' marks: no group keeps or gets these nodes.
struct drain_marks {
    std::set<node_id> nodes;
    std::set<group_id> groups;
    std::set<runner_id> runners;
    friend bool operator==(const drain_marks&, const drain_marks&) = default;
};

/// Bounds on control. `domain` and `grant_ttl` come from settings; the others have the values here.
struct control_options {
    failure_domain_id domain;
    /// Between two sendings of the same order to a runner. Not measured.
    duration order_interval = seconds{1};
    /// A daemon sends requests to a group for at most this long after its last grant
    /// (`settings::grant_ttl`). Not measured.
    duration grant_ttl = seconds{3};
    /// Two daemons' clocks run apart by at most this over one grant. Assumed, not measured.
    duration drift = milliseconds{500};
    /// A report is at most this old when it arrives. Assumed, not measured; a drain waits for it
    /// (6deb75e: a drained node's group is away for 5.6 s, with this and the grant's lifetime).
    duration report_lag = seconds{1};
    /// A runner that checks no epoch has ended all old work this long after the last grant
    /// (docs/DESIGN.md, Groups). Assumed, not measured.
    duration in_flight_bound = seconds{60};
    /// A draining group is stopped after this, with requests in flight or without. Not measured.
    duration drain_bound = seconds{600};
    /// Groups that load at the same time, to spare the weight store. Not measured.
    int loads_at_once = 2;
};

/// Runs the groups of one failure domain, on the one daemon that leads it. It proposes; the
/// replicated group table decides. It acts (orders) only on what is committed.
class group_controller {
public:
    group_controller(control_options options, std::unique_ptr<placement_strategy> placement);

    /// Looks at everything once. Call often; it repeats itself until the state follows.
    [[nodiscard]] control_step step(instant now, const configuration& config,
                                    const group_table& groups, const runner_watch& watch,
                                    const drain_marks& drains);
    /// Forgets timers: another daemon led in between.
    void reset();

private:
    struct context;

    void look_at_group(const context& in, const group_record& it, control_step& out);
    void look_at_loading(const context& in, const group_record& it, control_step& out);
    void look_at_serving(const context& in, const group_record& it, control_step& out);
    void look_at_draining(const context& in, const group_record& it, control_step& out);
    void look_at_ended(const context& in, const group_record& it, control_step& out);
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

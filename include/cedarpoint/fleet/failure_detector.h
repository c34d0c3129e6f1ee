#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/health_reports.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/planner_options.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <map>
#include <string>

namespace cedarpoint {

/// The state of a group's member as the leader sees it.
enum class member_state {
    present,  ///< sent a heartbeat or an answer recently, and reports to be a member
    silent,   ///< a member without recent heartbeat or answer; it may have failed
    draining, ///< has announced that it is leaving
    lost      ///< unknown, replaced at its address, or not reporting the group and epoch
};

/// Decides which runners have failed. Combines three sources, none of which is proof by itself:
/// heartbeats and probe answers (`runner_registry`), unanswered probes (counted here), and what
/// entry daemons observe of the runner's streams (`health_reports`). Only evaluates; takes no
/// action.
class failure_detector {
public:
    failure_detector(planner_options options, const runner_registry& registry,
                     const health_reports& reports, const fleet_state& state);

    void begin_term() { missed_probes_.clear(); }
    /// `refused`: the address refused the connection.
    void on_probe_failed(const runner_id& runner, bool refused);
    /// Records that the runner answered a probe or sent a heartbeat.
    void on_alive(const runner_id& runner) { missed_probes_.erase(runner); }

    /// Returns true if the latest probe was not answered.
    [[nodiscard]] bool is_suspected(const runner_id& runner) const;
    /// Returns true if several consecutive probes were not answered.
    [[nodiscard]] bool is_unresponsive(const runner_id& runner) const;
    /// Returns true if neither a heartbeat nor a probe answer of the runner has arrived for one and
    /// a half heartbeat intervals.
    [[nodiscard]] bool is_silent(instant now, const runner_record& record) const;
    [[nodiscard]] member_state state_of(instant now, const planned_group& group,
                                        const runner_id& member) const;
    /// Returns the reason why the member is lost and the age of that information, for the log.
    [[nodiscard]] std::string describe_loss(instant now, const runner_id& member) const;
    /// Returns true if the runner reports this phase of this group, under the group's epoch.
    [[nodiscard]] bool is_in_phase(const planned_group& group, const runner_id& member,
                                   member_phase phase) const;
    /// Returns true if the member of a serving group has failed. `head` is the observed health of
    /// the group's head.
    [[nodiscard]] bool has_failed(instant now, const planned_group& group, const runner_id& member,
                                  const runner_health& head) const;
    /// Returns true if no reporting entry daemon reaches the head of a waiting group although
    /// another member has answered a probe. This is a reason to end the group, but no proof that it
    /// has stopped: the head may serve callers whose entry daemons can't reach this leader.
    [[nodiscard]] bool is_head_unreachable(instant now, const planned_group& group) const;

private:
    [[nodiscard]] bool has_missed(const runner_id& runner, int probes) const;

    planner_options options_;
    const runner_registry& registry_;
    const health_reports& reports_;
    const fleet_state& state_;
    std::map<runner_id, int> missed_probes_; ///< consecutive misses by runner
};

} // namespace cedarpoint

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

/// What the leader believes of a member of a group.
enum class member_state {
    present,  ///< heard lately, and a member as far as it reports
    silent,   ///< a member whose heartbeat is overdue; it may have failed
    draining, ///< has announced that it leaves
    lost      ///< no member any more: gone, replaced at its address, or in another group
};

/// Decides which runners have failed. Relies on three sources, none of which is proof by itself:
/// heartbeats and probe answers (`runner_registry`), probes without an answer (counted here), and
/// what entry daemons observe of the runner's streams (`health_reports`). Changes nothing.
class failure_detector {
public:
    failure_detector(planner_options options, const runner_registry& registry,
                     const health_reports& reports, const fleet_state& state);

    void begin_term() { missed_probes_.clear(); }
    /// `refused`: the address answered with a reset.
    void on_probe_failed(const runner_id& runner, bool refused);
    /// The runner answered a probe or was heard.
    void on_alive(const runner_id& runner) { missed_probes_.erase(runner); }

    /// True if the latest probe was not answered.
    [[nodiscard]] bool is_suspected(const runner_id& runner) const;
    /// True if several probes in a row were not answered.
    [[nodiscard]] bool is_unresponsive(const runner_id& runner) const;
    /// True if the runner's heartbeat is overdue.
    [[nodiscard]] bool is_silent(instant now, const runner_record& record) const;
    [[nodiscard]] member_state state_of(instant now, const planned_group& group,
                                        const runner_id& member) const;
    /// What makes the member a lost one, with the age of that knowledge; for the log.
    [[nodiscard]] std::string describe_loss(instant now, const runner_id& member) const;
    /// True if the runner reports this phase of this group, under the group's epoch.
    [[nodiscard]] bool is_in_phase(const planned_group& group, const runner_id& member,
                                   member_phase phase) const;
    /// True if a member of a serving group, whose head is seen as `head`, has to be given up.
    [[nodiscard]] bool has_failed(instant now, const planned_group& group, const runner_id& member,
                                  const runner_health& head) const;
    /// True if no entry daemon that reports reaches the head of a waiting group, while a member has
    /// answered. A reason to give the group up, no proof of its end: the head may serve callers
    /// whose entry daemons don't reach this leader.
    [[nodiscard]] bool is_head_unreachable(instant now, const planned_group& group) const;

private:
    [[nodiscard]] bool has_missed(const runner_id& runner, int probes) const;

    planner_options options_;
    const runner_registry& registry_;
    const health_reports& reports_;
    const fleet_state& state_;
    std::map<runner_id, int> missed_probes_; ///< in a row
};

} // namespace cedarpoint

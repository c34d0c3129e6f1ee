#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/failure_detector.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <string>

namespace cedarpoint {

/// Read-only queries about the members of a group, answered from the plan, the runners' reports and
/// the failure detector. `group_lifecycle` bases its decisions on them.
class group_evidence {
public:
    group_evidence(const group_plan& plan, const failure_detector& detector,
                   const runner_registry& registry);

    /// Returns the first lost member of the group; null if there is none.
    [[nodiscard]] const runner_id* find_lost(instant now, const planned_group& group) const;
    /// Returns the reason why the member counts as lost, for the log.
    [[nodiscard]] std::string describe_loss(instant now, const planned_group& group,
                                            const runner_id& member) const;
    /// Returns true if orders can no longer reach the runner: the registry has no record of it, or
    /// another runner has its address.
    [[nodiscard]] bool is_replaced(const runner_id& runner) const;
    /// Returns true if the head was freed from the group and no longer reports it, or if the head
    /// is replaced.
    [[nodiscard]] bool has_head_left(instant now, const planned_group& group) const;
    /// Returns true if the head sent a heartbeat or answered a probe since the group entered its
    /// phase.
    [[nodiscard]] bool has_head_reported(const planned_group& group) const;
    /// Returns true if a member other than the head is present or draining. A draining member
    /// counts even without a recent heartbeat or answer.
    [[nodiscard]] bool is_other_member_present(instant now, const planned_group& group) const;
    /// Returns true if the runner's latest heartbeat names another group that it has not been freed
    /// from.
    [[nodiscard]] bool is_in_other_group(const planned_group& group, const runner_id& member) const;
    /// Returns true if a member that had left reports to be in the group again, because a delayed
    /// order to join was carried out.
    [[nodiscard]] bool has_rejoined(const planned_group& group, const runner_id& member) const;

private:
    /// Returns the group that the runner's latest heartbeat names; null if it names none, or a
    /// group that the runner has been freed from since.
    [[nodiscard]] const group_id* reported_group(const runner_id& runner) const;

    const group_plan& plan_;
    const failure_detector& detector_;
    const runner_registry& registry_;
};

} // namespace cedarpoint

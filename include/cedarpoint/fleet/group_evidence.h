#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/failure_detector.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <string>

namespace cedarpoint {

/// Questions about the members of a group, answered from the plan, from what runners reported and
/// from the failure detector. `group_lifecycle` decides by the answers; nothing here changes.
class group_evidence {
public:
    group_evidence(const group_plan& plan, const failure_detector& detector,
                   const runner_registry& registry);

    /// The first member that is lost; null if none is.
    [[nodiscard]] const runner_id* find_lost(instant now, const planned_group& group) const;
    /// Why the member counts as lost, for the log.
    [[nodiscard]] std::string describe_loss(instant now, const planned_group& group,
                                            const runner_id& member) const;
    /// True if the runner can't be ordered to anything any more: it is forgotten, or another one
    /// has its address.
    [[nodiscard]] bool is_replaced(const runner_id& runner) const;
    /// True if the head has left or is replaced; false for one that reports to be in the group.
    [[nodiscard]] bool is_head_out(instant now, const planned_group& group) const;
    /// True if the head spoke since the group entered its phase.
    [[nodiscard]] bool is_head_heard(const planned_group& group) const;
    /// True if a member other than the head was heard lately.
    [[nodiscard]] bool is_some_member_heard(instant now, const planned_group& group) const;
    /// True if the runner's latest heartbeat names another group, which it was not freed from.
    [[nodiscard]] bool is_in_other_group(const planned_group& group, const runner_id& member) const;
    /// True if a member that had left is in the group again: an order to join came late.
    [[nodiscard]] bool is_back(const planned_group& group, const runner_id& member) const;

private:
    /// The group that the runner's latest heartbeat names; null if it names none, or one that the
    /// runner was freed from since.
    [[nodiscard]] const group_id* reported_group(const runner_id& runner) const;

    const group_plan& plan_;
    const failure_detector& detector_;
    const runner_registry& registry_;
};

} // namespace cedarpoint

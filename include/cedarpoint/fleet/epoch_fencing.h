#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/epoch_source.h"
#include "cedarpoint/fleet/failure_detector.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/planner_options.h"
#include "cedarpoint/fleet/planner_outbox.h"
#include "cedarpoint/fleet/runner_registry.h"

namespace cedarpoint {

/// Keeps an order to join that is carried out late from putting a runner back into a group that it
/// has left, while that group may be open. Not all engines check fences, but each refuses an order
/// to join whose epoch is below one that it has joined under. So an order whose epoch was sent only
/// once, and that was carried out, leaves no copy behind that the runner would accept.
///
/// The head of a group gets each epoch once: if it does not answer, the group takes a higher one.
/// The other members are ordered to join after the head has answered, and repeatedly under the same
/// epoch. A copy of such an order is harmless once the head has left the group. A member that must
/// be used elsewhere before that is first ordered to join the same group once more, under an epoch
/// of its own.
class epoch_fencing {
public:
    epoch_fencing(planner_options options, epoch_source& epochs, planner_outbox& outbox,
                  const failure_detector& detector, const runner_registry& registry);

    /// Orders the head of a joining group to join, under a new epoch whenever it has not answered
    /// in time. Returns true once it has taken the order under the group's present epoch.
    bool order_head(instant now, planned_group& group);
    /// Orders another member of a joining group to join.
    void order_member(instant now, planned_group& group, const runner_id& member);
    /// Returns true if a late order to join may put the member back into the group while its head
    /// may be open.
    [[nodiscard]] bool needs_fence(const planned_group& group, const runner_id& member) const;
    /// Orders the member to join the group once more, under an epoch of its own.
    void fence(instant now, planned_group& group, const runner_id& member);
    /// Returns true if the member has restarted since it was fenced, and so accepts the epochs
    /// again that it refused before.
    [[nodiscard]] bool has_lost_fence(const planned_group& group, const runner_id& member) const;
    /// Records that the runner has taken the latest order to join under its epoch.
    static void on_joined(planned_group& group, const runner_id& member);

private:
    [[nodiscard]] bool has_joined(const planned_group& group, const runner_id& head) const;
    [[nodiscard]] bool is_due(instant now, const single_join& join) const;
    [[nodiscard]] incarnation incarnation_of(const runner_id& runner) const;
    void send(instant now, planned_group& group, const runner_id& to, single_join& join);

    planner_options options_;
    epoch_source& epochs_;
    planner_outbox& outbox_;
    const failure_detector& detector_;
    const runner_registry& registry_;
};

} // namespace cedarpoint

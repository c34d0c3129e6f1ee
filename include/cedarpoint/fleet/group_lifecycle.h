#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/epoch_fencing.h"
#include "cedarpoint/fleet/failure_detector.h"
#include "cedarpoint/fleet/group_evidence.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/planner_options.h"
#include "cedarpoint/fleet/planner_outbox.h"

#include <functional>
#include <string>
#include <vector>

namespace cedarpoint {

/// A phase change of a group, for the log.
struct plan_event {
    group_id group;
    plan_phase phase = plan_phase::joining;
    std::string reason;
    std::string members; ///< separated by commas
};

/// The state machine of each group. It is evaluated on every tick and relies on what runners
/// report, never on what they were ordered to do.
///
///     joining ---- all members ready ------------------------> opening
///     joining ---- a member lost, draining or unresponsive --> (ended)
///     joining ---- a member takes no order for too long -----> (ended)
///     opening ---- the head reports open --------------------> serving
///     opening ---- a member lost ----------------------------> releasing
///     serving ---- a member failed, or the head stopped -----> releasing
///     serving ---- a member drains --------------------------> retiring
///     retiring --- idle, at the limit, or a member lost -----> releasing
///     releasing -- the head has left, or is replaced --------> disbanding
///     releasing -- the head is unresponsive -----------------> waiting
///     waiting ---- the head reports again -------------------> serving
///     waiting ---- no entry daemon reaches the head ---------> disbanding
///     waiting ---- members respond, the head does not -------> disbanding
///     disbanding - every member has left, or is replaced ----> (ended)
///
/// Maintains two of the rules of docs/RULES-KEPT.md at all times. PARTIAL: a group opens only when
/// every member has reported ready under the group's name and epoch, and the group is in the log.
/// TWO: a member of a group that may have opened becomes free for another group only after the
/// member itself has answered the order to leave. Nothing else frees it: missing heartbeats, failed
/// probes, connection checks by entry daemons, elapsed time and heartbeats of unknown age only
/// decide when it is ordered to leave. `epoch_fencing` keeps late copies of orders to join from
/// putting it back.
class group_lifecycle {
public:
    group_lifecycle(planner_options options, group_plan& plan, planner_outbox& outbox,
                    epoch_source& epochs, const failure_detector& detector,
                    const runner_registry& registry, const health_reports& reports,
                    const fleet_state& state);

    /// Adds a new group to the plan and orders its head to join. Returns false if the group had to
    /// end at once.
    bool begin(instant now, planned_group group);
    /// Moves a group of the plan to a phase.
    void enter(instant now, planned_group& group, plan_phase phase, const std::string& why);
    /// Evaluates the state machine of each group.
    void advance_all(instant now);
    /// Retires a serving group: it accepts no new requests and ends when its last request has
    /// ended. Does nothing in any other phase.
    void retire(instant now, const group_id& name, const std::string& why);
    void on_order_result(instant now, const group_order& order, order_result result);

    /// Returns true if the runner has restarted and so may be put back into a group that it left
    /// before.
    [[nodiscard]] bool must_be_fenced_again(const runner_id& member) const;
    /// Returns the heads that the leader can't reach although other members of their groups
    /// answered probes. Entry daemons are asked to try to connect to them.
    [[nodiscard]] std::vector<runner_id> suspects() const;
    std::function<void(const plan_event&)> on_event;

private:
    void advance(instant now, planned_group& group);
    void advance_joining(instant now, planned_group& group);
    void advance_opening(instant now, planned_group& group);
    void advance_serving(instant now, planned_group& group);
    void advance_retiring(instant now, planned_group& group);
    void advance_releasing(instant now, planned_group& group);
    void advance_waiting(instant now, planned_group& group);
    void advance_disbanding(instant now, planned_group& group);

    void release(instant now, planned_group& group, const std::string& why);
    void disband(instant now, planned_group& group, const std::string& why);
    void order_to_leave(instant now, planned_group& group, const runner_id& member);
    void probe_all(instant now, const planned_group& group);
    void probe_unanswered(instant now, planned_group& group);
    /// Ends a group that was never opened. Its members are free at once, even if they have joined
    /// it.
    void end_unopened(const planned_group& group, const std::string& why);
    /// Frees a member that has answered the order to leave.
    void free(planned_group& group, const runner_id& member);
    void end(const planned_group& group, const std::string& why);
    /// Proposes to remove a group whose head can no longer be open from the log.
    void record_end(planned_group& group);
    void report(const planned_group& group, const std::string& why) const;

    planner_options options_;
    group_plan& plan_;
    planner_outbox& outbox_;
    const failure_detector& detector_;
    group_evidence evidence_;
    epoch_fencing fencing_;
    const runner_registry& registry_;
    const health_reports& reports_;
    const fleet_state& state_;
};

} // namespace cedarpoint

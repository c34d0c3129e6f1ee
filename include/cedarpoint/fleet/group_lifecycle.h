#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
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

/// One change of a group, for the log.
struct plan_event {
    group_id group;
    plan_phase phase = plan_phase::joining;
    std::string reason;
    std::string members; ///< separated by commas
};

/// The life of each group: a state machine that is evaluated on every tick and that goes by what
/// runners report, never by what they were ordered to do.
///
///     joining ---- all members ready ------------------------> opening
///     joining ---- a member lost, draining or unresponsive --> (ended)
///     opening ---- the head reports open --------------------> serving
///     opening ---- a member lost ----------------------------> releasing
///     serving ---- a member failed, or the head stopped -----> releasing
///     serving ---- a member drains --------------------------> retiring
///     retiring --- idle, at the limit, or a member lost -----> releasing
///     releasing -- the head has left, or is replaced --------> disbanding
///     releasing -- the head is unresponsive -----------------> waiting
///     waiting ---- the head is heard again ------------------> serving
///     waiting ---- no entry daemon reaches the head ---------> disbanding
///     waiting ---- members are heard, the head is not -------> disbanding
///     disbanding - every member has left, or is replaced ----> (ended)
///
/// It keeps two of the rules of docs/RULES-KEPT.md at every moment. PARTIAL: a group opens only
/// when every member has reported ready under the group's name and epoch, and the group is in the
/// log. TWO: a member of a group that may have opened is free for another one only once it has
/// itself answered the order to leave. Nothing else frees it: silence, failed probes, the tries of
/// entry daemons, time that passes and heartbeats of unknown age only decide when it is ordered to
/// leave.
class group_lifecycle {
public:
    group_lifecycle(planner_options options, group_plan& plan, planner_outbox& outbox,
                    const failure_detector& detector, const runner_registry& registry,
                    const health_reports& reports, const fleet_state& state);

    /// Begins a new group: its members are ordered to join.
    void begin(instant now, planned_group group);
    /// Puts a group that is in the plan into a phase.
    void enter(instant now, planned_group& group, plan_phase phase, const std::string& why);
    /// Evaluates the state of each group.
    void advance_all(instant now);
    /// A serving group takes no new requests and ends with its last one. Nothing if it does not
    /// serve.
    void retire(instant now, const group_id& name, const std::string& why);
    void on_order_result(instant now, const group_order& order, order_result result);

    /// Heads that the leader can't reach, while some of their members answer: entry daemons are
    /// asked to try them.
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
    void probe_all(instant now, const planned_group& group);
    void probe_unanswered(instant now, planned_group& group);
    /// Ends a group that was never opened: its members are free whatever they have joined.
    void end_unopened(const planned_group& group, const std::string& why);
    /// The member has answered that it left.
    void free(const planned_group& group, const runner_id& member);
    void end(const planned_group& group, const std::string& why);
    /// Lets the log forget a group whose head can't be open any more.
    void record_end(planned_group& group);
    void report(const planned_group& group, const std::string& why) const;

    planner_options options_;
    group_plan& plan_;
    planner_outbox& outbox_;
    const failure_detector& detector_;
    group_evidence evidence_;
    const runner_registry& registry_;
    const health_reports& reports_;
    const fleet_state& state_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/probe_report.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <map>
#include <optional>
#include <set>

namespace cedarpoint {

/// Makes an order to join conditional on the state that the runner has reported. The order carries
/// the number of orders that the runner had begun, and the runner refuses it if that number has
/// changed: if a late copy of an earlier order was carried out since, or if the runner has
/// restarted. So a runner that has reported to be in no group, in the group that it is to join, or
/// in one that was never opened, joins no group while it is in one that may be open.
///
/// A condition costs a probe, and a wait until the report shows the latest order. It is used only
/// for runners that may have earlier orders to join outstanding.
class conditional_joins {
public:
    explicit conditional_joins(const runner_registry& registry);

    /// Starts a term. `follows_leader`: an earlier leader may have given orders.
    void begin_term(bool follows_leader);
    void on_ordered(instant now, const group_order& order);
    void on_order_result(instant now, const group_order& order, order_result result);
    /// Records that this leader has ended a group that was never opened. Its members may report to
    /// be in it for as long as they join no other one.
    void on_ended_unopened(const group_id& group) { unopened_.insert(group); }
    void on_report(instant now, const runner_id& runner, const probe_report& report);

    /// Returns true if the runner may carry out an earlier order to join.
    [[nodiscard]] bool needs_condition(const runner_id& runner) const;
    /// Returns the number of orders that an order to join the group is to carry; empty if no report
    /// allows the order yet.
    [[nodiscard]] std::optional<order_count> condition_for(const planned_group& group,
                                                           const runner_id& runner) const;
    /// Returns true if a report that the runner sends now shows its latest order.
    [[nodiscard]] bool is_report_due(instant now, const runner_id& runner) const;

private:
    struct runner_state {
        int unanswered_joins = 0;           ///< in this term, also those that wait for their answer
        std::optional<instant> order;       ///< when the latest order was sent or answered
        std::optional<probe_report> report; ///< received since then, and current
    };

    static void note_order(instant now, runner_state& state);
    /// Returns true if the group of a report keeps the runner from an order to join `next`.
    [[nodiscard]] bool is_in_other_group(const probe_report& report, const group_id& next) const;

    const runner_registry& registry_;
    bool follows_leader_ = false;
    std::set<group_id> unopened_; ///< groups that were ended in this term before they were opened
    std::map<runner_id, runner_state> runners_;
};

} // namespace cedarpoint

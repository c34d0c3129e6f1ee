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

namespace cedarpoint {

/// Makes an order to join conditional on the state that the runner has reported. The order carries
/// the number of orders that the runner had begun, and the runner refuses it if that number has
/// changed: if a late copy of an earlier order was carried out since, or if the runner has
/// restarted. So a runner that has reported to be in no group, or in the group that it is to join,
/// joins no group while it is in another one.
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

    const runner_registry& registry_;
    bool follows_leader_ = false;
    std::map<runner_id, runner_state> runners_;
};

} // namespace cedarpoint

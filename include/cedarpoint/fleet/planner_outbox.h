#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/conditional_joins.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/planned_group.h"
#include "cedarpoint/fleet/planner_options.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cedarpoint {

/// Collects the planner's steps and limits how often each is repeated: an order after
/// `order_retry`, a probe after `probe_interval`. So the planner can request the same step on every
/// tick.
class planner_outbox {
public:
    planner_outbox(planner_options options, const runner_registry& registry);

    /// Starts `term`: orders carry its fences from now on, and the repetition limits are reset.
    /// `follows_leader`: an earlier leader may have given orders.
    void begin_term(std::uint64_t term, bool follows_leader);
    /// Returns true if no later order went to the runner; the answer to an older one may be out of
    /// date.
    [[nodiscard]] bool is_latest(const group_order& order) const;
    /// Returns true if the order was given in this term.
    [[nodiscard]] bool is_of_this_term(const group_order& order) const;

    /// Returns true if an order to join the group can be given to the runner now. If not, requests
    /// the report that the order depends on.
    bool prepare_join(instant now, const planned_group& group, const runner_id& to);
    /// Orders a member under the epoch that the group has for it. Returns false if the same order
    /// was added less than `order_retry` ago.
    bool order(instant now, const planned_group& group, order_kind kind, const runner_id& to);
    void stage(instant now, const runner_id& to, const model_id& model);
    void on_order_result(instant now, const group_order& order, order_result result);
    void on_report(instant now, const runner_id& runner, const probe_report& report);
    /// Records that a group was ended that was never opened.
    void on_ended_unopened(const group_id& group) { conditions_.on_ended_unopened(group); }
    /// Does nothing if the registry does not have the runner.
    void probe(instant now, const runner_id& runner);
    void record(std::string command);

    /// Returns all steps added since the previous call.
    [[nodiscard]] std::vector<planner_step> take();

private:
    using order_key = std::tuple<runner_id, group_id, epoch, order_kind>;

    void add_order(instant now, group_order order);

    planner_options options_;
    const runner_registry& registry_;
    conditional_joins conditions_;
    std::uint64_t latest_fence_ = 0; ///< highest of all orders; its upper bits are the term
    std::map<runner_id, std::uint64_t> fences_; ///< of the latest order to each runner
    std::map<order_key, instant> ordered_at_;
    std::map<runner_id, instant> probed_at_;
    std::vector<planner_step> steps_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/load_limiter.h"
#include "cedarpoint/fleet/placement_snapshot.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <cstddef>
#include <map>
#include <vector>

namespace cedarpoint {

/// One runner that is to copy a model's weights to its host.
struct staging_order {
    runner_id runner;
    model_id model;
};

/// Chooses which free runners copy which weights ahead of need: first what a missing group lacks,
/// one group of a model at a time, then something for each runner without any weights. Keeps to the
/// store's rate; groups that are loading go first. Remembers what is under way.
class weight_staging {
public:
    void clear() { under_way_.clear(); }
    /// Forgets what has arrived, what is overdue, and runners that are gone.
    void forget_finished(instant now, const runner_registry& registry);
    [[nodiscard]] bool is_under_way(const runner_id& runner) const
    {
        return under_way_.contains(runner);
    }
    [[nodiscard]] std::size_t count() const { return under_way_.size(); }

    /// The orders to give now; they count as under way, and as begun at `loads`.
    [[nodiscard]] std::vector<staging_order> plan(instant now, const placement_snapshot& in,
                                                  load_limiter& loads);

    using runner_list = std::vector<const runner_snapshot*>;
    /// Runners that have the model's weights, or will have them once what is under way arrives.
    [[nodiscard]] std::size_t count_staged(const runner_list& runners, const model_id& model) const;

private:
    struct transfer {
        model_id model;
        instant overdue_at;
    };
    struct plan_step;

    void stage_missing(plan_step& step);
    void stage_for_group(plan_step& step, const engine_model& model);
    void stage_empty_runners(plan_step& step);
    [[nodiscard]] const runner_list* find_domain(const placement_snapshot& in,
                                                 const engine_model& model) const;
    [[nodiscard]] const runner_snapshot* find_runner(const runner_list& runners,
                                                     const engine_model& model) const;
    [[nodiscard]] const engine_model& rarest_model(const placement_snapshot& in,
                                                   const runner_snapshot& runner,
                                                   const runner_list& peers) const;
    [[nodiscard]] bool may_load(const plan_step& step) const;
    void begin(plan_step& step, const runner_snapshot& runner, const engine_model& model);

    std::map<runner_id, transfer> under_way_;
};

} // namespace cedarpoint

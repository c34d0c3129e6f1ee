#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/load_limiter.h"
#include "cedarpoint/fleet/placement_snapshot.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace cedarpoint {

/// One runner that is to copy a model's weights to its host.
struct staging_order {
    runner_id runner;
    model_id model;
};

/// Runners that can join for a model without the weight store.
struct ready_counts {
    std::size_t now = 0;
    std::size_t soon = 0; ///< once the weights under way have arrived
};

/// Chooses which runners copy which weights to their hosts ahead of need. First what free runners
/// lack for their next groups, by the worth of a group for each second of loading; then something
/// for each without any weights; last, as far as the store has room, a second model for runners
/// that serve. A runner joins again for the model it has loaded at once and for the one on its host
/// within seconds, so that a group of either can be formed of it. Keeps to the store's rate; groups
/// that are loading go first. Remembers what is under way.
class weight_staging {
public:
    using runner_list = std::vector<const runner_snapshot*>;

    void clear() { under_way_.clear(); }
    /// Forgets what has arrived, what is overdue, and runners that are gone.
    void forget_finished(instant now, const runner_registry& registry);
    void on_order_result(instant now, const runner_id& runner, const model_id& model,
                         order_result result);
    [[nodiscard]] bool is_under_way(const runner_id& runner) const
    {
        return under_way_.contains(runner);
    }
    [[nodiscard]] std::size_t count() const { return under_way_.size(); }

    /// The orders to give now; they count as under way, and as begun at `loads`.
    [[nodiscard]] std::vector<staging_order> plan(instant now, const placement_snapshot& in,
                                                  load_limiter& loads);

    [[nodiscard]] ready_counts count_ready(const runner_list& runners,
                                           const engine_model& model) const;

private:
    struct transfer {
        model_id model;
        instant overdue_at;
        std::optional<instant> unanswered_until; ///< empty once the runner took the order
        std::optional<instant> repeat_at;        ///< when to send the order again
    };
    struct plan_step;
    struct completion;

    void repeat_unanswered(plan_step& step);

    /// Free runners: what lacks for their next groups.
    void complete_groups(plan_step& step, const fleet_service& service,
                         const std::vector<const engine_model*>& models);
    /// The group of these runners that is worth most; its runners are taken out of `left`.
    [[nodiscard]] std::optional<completion>
    find_completion(const placement_snapshot& in, const fleet_service& service,
                    const std::vector<const engine_model*>& models, const fabric_domain_id& domain,
                    runner_list& left) const;
    /// What lacks where groups of models with room could be retired for the first of `models`.
    void prepare_conversion(plan_step& step, const fleet_service& service,
                            const std::vector<const engine_model*>& models);
    /// Free runners, and those of groups that could be retired for the first of `models`.
    [[nodiscard]] static std::map<fabric_domain_id, runner_list>
    find_takeable(const placement_snapshot& in, const fleet_service& service,
                  const std::vector<const engine_model*>& models);
    void stage_empty_runners(plan_step& step, const fleet_service& service,
                             const std::vector<const engine_model*>& models);
    using model_counts = std::map<model_id, std::size_t>;
    /// Runners of the domain by the model that each has loaded, or holds.
    [[nodiscard]] model_counts count_held(const placement_snapshot& in,
                                          const fabric_domain_id& domain) const;
    /// The part of a domain's runners that hold the model, or a least value.
    [[nodiscard]] static double home_factor(const model_counts& held, const model_id& model);
    /// A second model for runners that serve another one.
    void stage_alternates(plan_step& step, const fleet_service& service, const engine_model& model);
    [[nodiscard]] bool will_have(const runner_snapshot& runner, const engine_model& model) const;
    [[nodiscard]] bool may_load(const plan_step& step) const;
    /// The same for weights that nothing waits for.
    [[nodiscard]] bool may_load_ahead(const plan_step& step) const;
    void begin(plan_step& step, const runner_snapshot& runner, const engine_model& model);

    std::map<runner_id, transfer> under_way_;
};

} // namespace cedarpoint

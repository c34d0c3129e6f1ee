#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/placement_snapshot.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/weight_load_limiter.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace cedarpoint {

/// An order to one runner to copy a model's weights to its host.
struct staging_order {
    runner_id runner;
    model_id model;
};

/// Numbers of runners that can join for a model without the weight store.
struct ready_counts {
    std::size_t now = 0;
    std::size_t soon = 0; ///< in addition, once the transfers in progress are complete
};

/// Chooses which runners copy which weights to their hosts in advance. In order of priority:
/// weights that free runners lack for their next groups, by the group's value per second of
/// loading; one model for each free runner without any weights; and, while the store has spare
/// capacity, a second model for runners that serve. A runner can rejoin at once for its loaded
/// model and within seconds for the model on its host, so that groups of either model can be formed
/// with it. Stays within the store's rate, and groups that are loading take precedence. Tracks the
/// transfers in progress.
class weight_staging {
public:
    using runner_list = std::vector<const runner_snapshot*>;

    void clear() { under_way_.clear(); }
    /// Removes transfers that are complete, unanswered or overdue, and those of runners that the
    /// registry no longer has.
    void remove_finished(instant now, const runner_registry& registry);
    void on_order_result(instant now, const runner_id& runner, const model_id& model,
                         order_result result);
    [[nodiscard]] bool is_under_way(const runner_id& runner) const
    {
        return under_way_.contains(runner);
    }
    [[nodiscard]] std::size_t count() const { return under_way_.size(); }

    /// Returns the orders to give now, and records them as in progress and as begun in `loads`.
    [[nodiscard]] std::vector<staging_order> plan(instant now, const placement_snapshot& in,
                                                  weight_load_limiter& loads);

    [[nodiscard]] ready_counts count_ready(const runner_list& runners,
                                           const engine_model& model) const;

private:
    struct transfer {
        model_id model;
        instant overdue_at;
        std::optional<instant> unanswered_until; ///< empty once the runner has accepted the order
        std::optional<instant> repeat_at;        ///< when to send the order again
    };
    struct plan_step;
    struct completion; ///< the weights that one group still lacks

    void repeat_unanswered(plan_step& step);

    /// Stages the weights that free runners lack for their next groups.
    void complete_groups(plan_step& step, const fleet_service& service,
                         const std::vector<const engine_model*>& models);
    /// Returns the missing weights of the group with the highest value that the runners in `left`
    /// can form, and removes the runners of that group from `left`.
    [[nodiscard]] std::optional<completion>
    find_completion(const placement_snapshot& in, const fleet_service& service,
                    const std::vector<const engine_model*>& models, const fabric_domain_id& domain,
                    runner_list& left) const;
    /// Stages weights of the first of `models` in the fabric domain that needs the fewest transfers
    /// for one more group of it, counting runners of groups that could be retired.
    void prepare_conversion(plan_step& step, const fleet_service& service,
                            const std::vector<const engine_model*>& models);
    /// Returns free runners, and members of groups that could be retired for the first of `models`,
    /// by fabric domain.
    [[nodiscard]] static std::map<fabric_domain_id, runner_list>
    find_convertible(const placement_snapshot& in, const fleet_service& service,
                     const std::vector<const engine_model*>& models);
    void stage_empty_runners(plan_step& step, const fleet_service& service,
                             const std::vector<const engine_model*>& models);
    using model_counts = std::map<model_id, std::size_t>;
    /// Counts the domain's runners by model: the one loaded, else the one in transfer, else the one
    /// on the host.
    [[nodiscard]] model_counts count_held(const placement_snapshot& in,
                                          const fabric_domain_id& domain) const;
    /// Returns the fraction of a domain's runners that hold the model, with a lower bound.
    [[nodiscard]] static double affinity_factor(const model_counts& held, const model_id& model);
    /// Stages the model on runners that serve another one and hold no second model.
    void stage_alternates(plan_step& step, const fleet_service& service, const engine_model& model);
    [[nodiscard]] bool will_have(const runner_snapshot& runner, const engine_model& model) const;
    /// Returns true if one more transfer may begin now.
    [[nodiscard]] bool may_load(const plan_step& step) const;
    /// The same for a transfer that no group waits for.
    [[nodiscard]] bool may_load_ahead(const plan_step& step) const;
    void begin(plan_step& step, const runner_snapshot& runner, const engine_model& model);

    std::map<runner_id, transfer> under_way_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/placement_snapshot.h"

#include <cstddef>

namespace cedarpoint {

/// Returns the target number of groups of a model while its load is unknown: as many as its share
/// of the runners can form, and at least one.
[[nodiscard]] std::size_t base_groups(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& model);

/// Returns the fraction of its slots that a model's load would occupy with this many groups; above
/// 1, requests are rejected. With no group the load can't be measured, and the model counts as
/// short of capacity.
[[nodiscard]] double utilization_with(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& model, std::size_t groups);

/// Returns true if runners may switch from groups of model `from`, which then has `from_groups`
/// left, to groups of model `to`. They lose the weights that they have loaded, and the store can
/// reload only few in time, so `to` must be short of capacity and have a much higher utilization
/// than `from`.
[[nodiscard]] bool is_worth_switching(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& from, std::size_t from_groups,
                                      const engine_model& to);

/// Which free runners may join for another model than the one that they have loaded.
enum class model_switch {
    to_much_busier, ///< those for which `is_worth_switching` holds
    idle_runners    ///< in addition, those of which no group of their model can be formed
};

/// Returns true if free runners that have loaded model `from` may join for model `to`. Idle runners
/// serve nobody meanwhile, so it is enough that `to` is crowded and no less utilized than `from`.
[[nodiscard]] bool may_switch(const placement_snapshot& in, const fleet_service& service,
                              const engine_model& from, const engine_model& to,
                              model_switch allowed);
/// Returns true if placement lets an idle runner that has the weights of model `to` on its host
/// join for it.
[[nodiscard]] bool may_join_idle(const placement_snapshot& in, const fleet_service& service,
                                 const runner_snapshot& runner, const engine_model& to);

} // namespace cedarpoint

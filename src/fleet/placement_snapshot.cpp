#include "cedarpoint/fleet/placement_snapshot.h"

#include <algorithm>

namespace cedarpoint {

double model_load::utilization() const
{
    return (in_flight + rejections_per_s) / std::max(slots, 1);
}

std::size_t placement_snapshot::count_groups(const model_id& model) const
{
    const auto found = groups.find(model);
    return found == groups.end() ? 0 : found->second;
}

const model_load& placement_snapshot::load_of(const fleet_service& service,
                                              const engine_model& model) const
{
    return loads.at({service.name, model.name});
}

bool has_staged(const announcement& runner, const model_id& model)
{
    return std::find(runner.staged.begin(), runner.staged.end(), model) != runner.staged.end();
}

} // namespace cedarpoint

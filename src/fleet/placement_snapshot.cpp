#include "cedarpoint/fleet/placement_snapshot.h"

#include <algorithm>

namespace cedarpoint {

std::size_t placement_snapshot::count_groups(const model_id& model) const
{
    const auto found = groups.find(model);
    return found == groups.end() ? 0 : found->second;
}

std::size_t placement_snapshot::count_groups_in(const fabric_domain_id& domain,
                                                const model_id& model) const
{
    const auto found = groups_by_domain.find({domain, model});
    return found == groups_by_domain.end() ? 0 : found->second;
}

std::size_t placement_snapshot::count_groups_in(const failure_domain_id& domain,
                                                const model_id& model) const
{
    const auto found = groups_by_failure_domain.find({domain, model});
    return found == groups_by_failure_domain.end() ? 0 : found->second;
}

std::size_t placement_snapshot::count_with_expected(const model_id& model) const
{
    const auto found = expected.find(model);
    return count_groups(model) + (found == expected.end() ? 0 : found->second);
}

double placement_snapshot::work_of(const fleet_service& service, const engine_model& model) const
{
    const auto found = work.find({service.name, model.name});
    return found == work.end() ? 0 : found->second;
}

bool can_join_soon(const runner_snapshot& runner, const engine_model& model)
{
    return has_loaded(runner, model) || (!runner.staging && has_staged(*runner.latest, model.name));
}

bool has_loaded(const runner_snapshot& runner, const engine_model& model)
{
    return runner.last_model != nullptr && *runner.last_model == model.name;
}

bool has_staged(const announcement& runner, const model_id& model)
{
    return std::find(runner.staged.begin(), runner.staged.end(), model) != runner.staged.end();
}

} // namespace cedarpoint

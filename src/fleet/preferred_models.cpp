#include "cedarpoint/fleet/preferred_models.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cedarpoint {
namespace {

/// A model without a share of the work still counts with this much, so that it gets a domain.
constexpr double smallest_share = 0.01;

/// Fabric domains that each model has been given.
using domain_counts = std::map<model_id, double>;

/// How far a model is below its part of the fabric domains: runners that it needs for its share of
/// the work, per domain that it would have with one more.
double need_for_domain(const engine_model& model, const domain_counts& given)
{
    const auto runners =
        std::max(model.share, smallest_share) * static_cast<double>(model.group_size);
    const auto found = given.find(model.name);
    return runners / ((found == given.end() ? 0 : found->second) + 1);
}

/// The model that the next fabric domain of a failure domain prefers; `present` are those that
/// other fabric domains of it prefer.
const engine_model& choose(const std::vector<engine_model>& models,
                           const std::set<model_id>& present, const domain_counts& given)
{
    const auto rank = [&](const engine_model& model) {
        return std::pair{!present.contains(model.name), need_for_domain(model, given)};
    };
    return *std::max_element(
        models.begin(), models.end(),
        [&](const engine_model& a, const engine_model& b) { return rank(a) < rank(b); });
}

bool has_model_without_domain(const fleet_configuration& configuration, const domain_counts& given)
{
    return std::any_of(configuration.services.begin(), configuration.services.end(),
                       [&](const fleet_service& service) {
                           return service.engine &&
                                  std::any_of(service.engine->models.begin(),
                                              service.engine->models.end(),
                                              [&](const engine_model& model) {
                                                  return !given.contains(model.name);
                                              });
                       });
}

} // namespace

preferred_models preferred_models::assign(const fleet_configuration& configuration,
                                          const std::vector<runner_place>& runners)
{
    using place = std::pair<failure_domain_id, service_id>;
    std::map<place, std::set<fabric_domain_id>> places;
    for (const auto& runner : runners) {
        places[{runner.failure_domain, runner.service}].insert(runner.fabric_domain);
    }
    preferred_models out;
    domain_counts given;
    for (const auto& [at, domains] : places) {
        const auto& models = configuration.find_service(at.second)->engine->models;
        std::set<model_id> present;
        for (const auto& domain : domains) {
            const auto& chosen = choose(models, present, given);
            out.by_domain_[domain] = chosen.name;
            present.insert(chosen.name);
            given[chosen.name] += 1;
        }
    }
    return has_model_without_domain(configuration, given) ? preferred_models{} : out;
}

bool preferred_models::allows(const fabric_domain_id& domain, const model_id& model) const
{
    const auto found = by_domain_.find(domain);
    return found == by_domain_.end() || found->second == model;
}

} // namespace cedarpoint

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace cedarpoint {
namespace {

/// The part of the runners that groups are formed of where models share fabric domains; the rest
/// are spares, which replace lost members at once. Not measured on its own; it came with the round
/// "survivors went to the model that was quicker -> wanted groups by pressure".
constexpr double used_part = 0.8;

/// Requests per slot above which a model that has its groups gets one more. Not measured on its
/// own; of the same round.
constexpr double high_utilization = 0.5;

std::size_t count_usable(const placement_snapshot& in, const fleet_service& service)
{
    return static_cast<std::size_t>(
        std::count_if(in.runners.begin(), in.runners.end(), [&](const runner_snapshot& runner) {
            return runner.usable && runner.latest->service == service.name;
        }));
}

/// Groups of each model when the domains are shared: the same number of each.
std::size_t shared_groups(const placement_snapshot& in, const fleet_service& service)
{
    double runners_of_one_each = 0;
    for (const auto& model : service.engine->models) {
        runners_of_one_each += static_cast<double>(model.group_size);
    }
    const auto runners = static_cast<double>(count_usable(in, service)) * used_part;
    const auto rounds = runners / std::max(runners_of_one_each, 1.0);
    return static_cast<std::size_t>(std::lround(std::max(1.0, rounds)));
}

/// Groups that fit into the fabric domains that prefer the model.
std::size_t fitting_groups(const placement_snapshot& in, const fleet_service& service,
                           const engine_model& model)
{
    std::map<fabric_domain_id, std::size_t> runners;
    for (const auto& runner : in.runners) {
        const auto& domain = runner.latest->fabric_domain;
        if (runner.usable && runner.latest->service == service.name &&
            in.preferred.allows(domain, model.name)) {
            ++runners[domain];
        }
    }
    std::size_t out = 0;
    for (const auto& [domain, count] : runners) {
        out += count / std::max<std::size_t>(model.group_size, 1);
    }
    return out;
}

} // namespace

std::size_t base_groups(const placement_snapshot& in, const fleet_service& service,
                        const engine_model& model)
{
    return in.preferred.empty() ? shared_groups(in, service)
                                : std::max<std::size_t>(fitting_groups(in, service, model), 1);
}

std::size_t wanted_groups(const placement_snapshot& in, const fleet_service& service,
                          const engine_model& model)
{
    const auto base = in.base_groups.at({service.name, model.name});
    const auto groups = in.count_groups(model.name);
    const bool short_of_room =
        groups >= base && in.load_of(service, model).utilization() > high_utilization;
    return short_of_room ? groups + 1 : base;
}

} // namespace cedarpoint

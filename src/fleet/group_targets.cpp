#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

/// Minimum share of a model, so that a model without a share of the work still gets a group.
constexpr double smallest_share = 0.01;

/// Assumed utilization of a model without any group, whose load can't be measured: short of
/// capacity.
constexpr double utilization_without_group = 4;

/// A model below this utilization is not short of capacity.
constexpr double min_recipient_utilization = 0.4;

/// A model takes runners only from a model whose utilization is lower by at least this factor.
constexpr double min_utilization_ratio = 2;

/// From this utilization on, a model's requests slow each other down, and more groups of it are
/// worth the weights that idle runners lose.
constexpr double crowded_utilization = 0.7;

std::size_t count_usable(const placement_snapshot& in, const fleet_service& service)
{
    return static_cast<std::size_t>(
        std::count_if(in.runners.begin(), in.runners.end(), [&](const runner_snapshot& runner) {
            return runner.usable && runner.latest->service == service.name;
        }));
}

} // namespace

std::size_t base_groups(const placement_snapshot& in, const fleet_service& service,
                        const engine_model& model)
{
    double shares = 0;
    for (const auto& each : service.engine->models) {
        shares += std::max(each.share, smallest_share);
    }
    const auto runners = static_cast<double>(count_usable(in, service)) *
                         std::max(model.share, smallest_share) / shares;
    const auto groups = runners / static_cast<double>(std::max<std::size_t>(model.group_size, 1));
    return std::max<std::size_t>(static_cast<std::size_t>(std::lround(groups)), 1);
}

double utilization_with(const placement_snapshot& in, const fleet_service& service,
                        const engine_model& model, std::size_t groups)
{
    if (groups == 0) {
        return utilization_without_group;
    }
    const auto slots = static_cast<double>(std::max(service.engine->slots, 1));
    return in.work_of(service, model) / (slots * static_cast<double>(groups));
}

bool is_worth_switching(const placement_snapshot& in, const fleet_service& service,
                        const engine_model& from, std::size_t from_groups, const engine_model& to)
{
    const auto recipient_utilization =
        utilization_with(in, service, to, in.count_with_expected(to.name));
    return recipient_utilization >= min_recipient_utilization &&
           recipient_utilization >=
               min_utilization_ratio * utilization_with(in, service, from, from_groups);
}

bool may_switch(const placement_snapshot& in, const fleet_service& service,
                const engine_model& from, const engine_model& to, model_switch allowed)
{
    const auto from_groups = in.count_with_expected(from.name);
    if (is_worth_switching(in, service, from, from_groups, to)) {
        return true;
    }
    const auto recipient_utilization =
        utilization_with(in, service, to, in.count_with_expected(to.name));
    return allowed == model_switch::idle_runners && recipient_utilization >= crowded_utilization &&
           recipient_utilization >= utilization_with(in, service, from, from_groups);
}

bool may_join_idle(const placement_snapshot& in, const fleet_service& service,
                   const runner_snapshot& runner, const engine_model& to)
{
    const auto* loaded = runner.last_model == nullptr
                             ? nullptr
                             : in.configuration->find_model(service.name, *runner.last_model);
    return !in.has_traffic || loaded == nullptr || loaded->name == to.name ||
           may_switch(in, service, *loaded, to, model_switch::idle_runners);
}

} // namespace cedarpoint

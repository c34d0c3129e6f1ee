#include "cedarpoint/fleet/group_placement.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// What a runner needs to join again for the model that it joined for last: its weights are loaded.
/// The engines' published figure; the configuration does not hold it.
constexpr duration rejoin_time = milliseconds{200};

/// Cost of a second until a group's last member has joined, in shares of the wanted groups: a group
/// that takes 16 s to load costs as much as half of a model's groups being there already. Not
/// measured on its own; of the round "survivors went to the model that was quicker".
constexpr double cost_per_second = 0.03;

duration join_time(const runner_snapshot& runner, const engine_model& model)
{
    if (runner.last_model != nullptr && *runner.last_model == model.name) {
        return rejoin_time;
    }
    return has_staged(*runner.latest, model.name) ? model.warm_time : model.load_time;
}

/// The part of the model's wanted groups that it has, less its utilization, plus the time until the
/// group could serve: the model that is shortest of room goes first.
double placement_cost(const placement_snapshot& in, const fleet_service& service,
                      const engine_model& model, duration until_joined)
{
    const auto groups = static_cast<double>(in.count_groups(model.name));
    const auto wanted = static_cast<double>(wanted_groups(in, service, model));
    const auto wait_s = std::chrono::duration<double>(until_joined).count();
    return groups / std::max(wanted, 1.0) - in.load_of(service, model).utilization() +
           cost_per_second * wait_s;
}

} // namespace

std::optional<proposed_group> group_placement::propose_in(const placement_snapshot& in,
                                                          const fabric_domain_id& domain,
                                                          const fleet_service& service,
                                                          const engine_model& model)
{
    if (in.count_groups(model.name) >= wanted_groups(in, service, model)) {
        return {};
    }
    std::vector<std::pair<duration, runner_id>> candidates;
    for (const auto* runner : in.free.at(domain)) {
        if (runner->latest->service == service.name && !runner->staging) {
            candidates.emplace_back(join_time(*runner, model), runner->latest->id);
        }
    }
    if (candidates.size() < model.group_size) {
        return {};
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(model.group_size);
    const auto slowest = candidates.back().first;
    if (in.has_traffic && slowest == model.load_time) {
        return {};
    }
    proposed_group out;
    out.service = &service;
    out.model = &model;
    out.domain = domain;
    for (const auto& [time, runner] : candidates) {
        out.members.push_back(runner);
        out.loads += time == model.load_time ? 1 : 0;
    }
    out.cost = placement_cost(in, service, model, slowest);
    return out;
}

std::optional<proposed_group> group_placement::propose(instant now, const placement_snapshot& in,
                                                       const load_limiter& loads)
{
    std::optional<proposed_group> best;
    for (const auto& [domain, runners] : in.free) {
        for (const auto& service : in.configuration->services) {
            if (!service.engine) {
                continue;
            }
            for (const auto& model : service.engine->models) {
                auto next = propose_in(in, domain, service, model);
                const bool may_load = next && (next->loads == 0 ||
                                               (in.preferred.allows(domain, model.name) &&
                                                loads.allows(now, next->loads, in.joins_loading)));
                if (may_load && (!best || next->cost < best->cost)) {
                    best = std::move(next);
                }
            }
        }
    }
    return best;
}

} // namespace cedarpoint

#include "cedarpoint/fleet/group_placement.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cedarpoint {
namespace {

/// Time for a runner to rejoin for the model that it has loaded. The engines publish this figure;
/// the configuration does not contain it.
constexpr duration rejoin_time = milliseconds{200};

/// Cost of each second until a group's last member has joined, as a fraction of the model's target
/// groups. A load time of 16 s costs as much as having about half of the target groups already.
constexpr double cost_per_second = 0.03;

/// Costs of a group before the first request, as fractions of the model's target groups: for each
/// group of the model already in the failure domain, for a fabric domain without a group of the
/// model, and for each runner left without a group. They give each failure domain every model, and
/// each fabric domain a single model where possible, so that the survivors of two of its groups can
/// form a third.
constexpr double cost_of_same_failure_domain = 0.05;
constexpr double cost_of_new_domain = 0.1;
constexpr double cost_of_stranded = 0.2;

/// Bonus for a model's first group, larger than all costs, so that each model is served.
constexpr double advantage_of_first_group = 10;

duration join_time(const runner_snapshot& runner, const engine_model& model)
{
    if (has_loaded(runner, model)) {
        return rejoin_time;
    }
    return has_staged(*runner.latest, model.name) ? model.warm_time : model.load_time;
}

/// Returns the smallest number of `runners` that remain unused when the others form groups of the
/// service.
std::size_t count_stranded(const fleet_service& service, std::size_t runners)
{
    std::vector<bool> reachable(runners + 1, false);
    reachable[0] = true;
    std::size_t most = 0;
    for (std::size_t used = 1; used <= runners; ++used) {
        for (const auto& model : service.engine->models) {
            const auto size = std::max<std::size_t>(model.group_size, 1);
            reachable[used] = reachable[used] || (size <= used && reachable[used - size]);
        }
        most = reachable[used] ? used : most;
    }
    return runners - most;
}

/// The cost before the first request: the model with the lowest fraction of its target groups comes
/// first.
double initial_cost(const placement_snapshot& in, const proposed_group& next, std::size_t free)
{
    const auto groups = static_cast<double>(in.count_groups(next.model->name));
    const auto wanted = static_cast<double>(base_groups(in, *next.service, *next.model));
    const auto failure_domain_of_group = in.free.at(next.domain).front()->latest->failure_domain;
    const auto groups_there =
        static_cast<double>(in.count_groups_in(failure_domain_of_group, next.model->name));
    const bool is_new = in.count_groups_in(next.domain, next.model->name) == 0;
    const auto stranded =
        static_cast<double>(count_stranded(*next.service, free - next.members.size())) -
        static_cast<double>(count_stranded(*next.service, free));
    return groups / wanted + cost_of_same_failure_domain * groups_there +
           (is_new ? cost_of_new_domain : 0) + cost_of_stranded * stranded -
           (groups == 0 ? advantage_of_first_group : 0);
}

/// The cost of a group minus its value, as a fraction of the model's target groups. Once there is
/// traffic, the model with the highest utilization comes first.
double placement_cost(const placement_snapshot& in, const proposed_group& next, std::size_t free,
                      duration until_joined)
{
    const auto wait = cost_per_second * std::chrono::duration<double>(until_joined).count();
    const auto groups = in.count_with_expected(next.model->name);
    return in.has_traffic ? wait - utilization_with(in, *next.service, *next.model, groups)
                          : wait + initial_cost(in, next, free);
}

bool may_join(const runner_snapshot& runner, const fleet_service& service,
              const engine_model& model)
{
    const bool reserved_for_other =
        runner.reserved_for != nullptr && *runner.reserved_for != model.name;
    // While weights are copied to its host, a runner can join only for the model that it has
    // loaded.
    return runner.latest->service == service.name && !reserved_for_other &&
           (has_loaded(runner, model) || !runner.staging);
}

/// A runner that could join, with its rank in the selection order.
struct candidate {
    duration time{};                      ///< until it has joined
    const engine_model* loaded = nullptr; ///< another model, whose loaded weights it would lose
    runner_id runner;

    [[nodiscard]] auto rank() const { return std::tuple{time, loaded != nullptr, runner}; }
};

const engine_model* find_model(const fleet_service& service, const model_id& name)
{
    const auto& models = service.engine->models;
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const engine_model& model) { return model.name == name; });
    return found == models.end() ? nullptr : &*found;
}

/// Returns the model whose loaded weights the runner would lose by joining; null if it would lose
/// none, or if a conversion has already decided on the switch.
const engine_model* find_lost_model(const runner_snapshot& runner, const fleet_service& service,
                                    const engine_model& model)
{
    const bool decided = runner.reserved_for != nullptr && *runner.reserved_for == model.name;
    return decided || runner.last_model == nullptr || has_loaded(runner, model)
               ? nullptr
               : find_model(service, *runner.last_model);
}

std::vector<candidate> find_candidates(const std::vector<const runner_snapshot*>& free,
                                       const fleet_service& service, const engine_model& model)
{
    std::vector<candidate> out;
    for (const auto* runner : free) {
        if (may_join(*runner, service, model)) {
            out.push_back({join_time(*runner, model), find_lost_model(*runner, service, model),
                           runner->latest->id});
        }
    }
    std::sort(out.begin(), out.end(),
              [](const candidate& a, const candidate& b) { return a.rank() < b.rank(); });
    return out;
}

/// Once there is traffic, no group waits for weights, and runners switch only to a model with a
/// higher utilization.
bool is_worth_joining(const placement_snapshot& in, const fleet_service& service,
                      const engine_model& model, const std::vector<candidate>& members,
                      model_switch allowed)
{
    return members.back().time != model.load_time &&
           std::all_of(members.begin(), members.end(), [&](const candidate& each) {
               return each.loaded == nullptr ||
                      may_switch(in, service, *each.loaded, model, allowed);
           });
}

/// Returns true if the runners of one fabric domain could form a group of some model without the
/// weight store.
bool could_form_group(const placement_snapshot& in,
                      const std::vector<const runner_snapshot*>& runners)
{
    const auto* service = in.configuration->find_service(runners.front()->latest->service);
    return std::any_of(
        service->engine->models.begin(), service->engine->models.end(),
        [&](const engine_model& model) {
            const auto ready =
                std::count_if(runners.begin(), runners.end(), [&](const runner_snapshot* runner) {
                    return may_join(*runner, *service, model) && can_join_soon(*runner, model);
                });
            return static_cast<std::size_t>(ready) >= model.group_size;
        });
}

} // namespace

std::optional<proposed_group> group_placement::propose_in(const placement_snapshot& in,
                                                          const fabric_domain_id& domain,
                                                          const fleet_service& service,
                                                          const engine_model& model,
                                                          model_switch allowed)
{
    const auto& free = in.free.at(domain);
    auto members = find_candidates(free, service, model);
    if (members.size() < model.group_size) {
        return {};
    }
    members.resize(model.group_size);
    if (in.has_traffic && !is_worth_joining(in, service, model, members, allowed)) {
        return {};
    }
    proposed_group out;
    out.service = &service;
    out.model = &model;
    out.domain = domain;
    for (const auto& each : members) {
        out.members.push_back(each.runner);
        out.loads += each.time == model.load_time ? 1 : 0;
    }
    out.cost = placement_cost(in, out, free.size(), members.back().time);
    return out;
}

std::optional<proposed_group> group_placement::propose(instant now, const placement_snapshot& in,
                                                       const weight_load_limiter& loads)
{
    // Groups that cost no loaded weights come first: only what they leave over is idle.
    auto out = find_cheapest(now, in, loads, model_switch::to_much_busier);
    return out ? out : find_cheapest(now, in, loads, model_switch::idle_runners);
}

std::optional<proposed_group> group_placement::find_cheapest(instant now,
                                                             const placement_snapshot& in,
                                                             const weight_load_limiter& loads,
                                                             model_switch allowed)
{
    std::optional<proposed_group> best;
    for (const auto& [domain, runners] : in.free) {
        for (const auto& service : in.configuration->services) {
            if (!service.engine) {
                continue;
            }
            for (const auto& model : service.engine->models) {
                auto next = propose_in(in, domain, service, model, allowed);
                const bool may_load = next && loads.allows(now, next->loads, in.joins_loading);
                if (may_load && (!best || next->cost < best->cost)) {
                    best = std::move(next);
                }
            }
        }
    }
    return best;
}

std::size_t group_placement::count_withheld(const placement_snapshot& in)
{
    std::size_t out = 0;
    for (const auto& [domain, runners] : in.free) {
        out += could_form_group(in, runners) ? runners.size() : 0;
    }
    return out;
}

} // namespace cedarpoint

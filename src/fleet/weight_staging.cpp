#include "cedarpoint/fleet/weight_staging.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Weights that have not arrived after this many times their load time are taken for lost, and the
/// runner may be chosen again. Not measured.
constexpr int load_times_to_overdue = 2;

} // namespace

/// What one call of `plan` works with.
struct weight_staging::plan_step {
    instant now;
    const placement_snapshot& in;
    load_limiter& loads;
    std::vector<staging_order> orders;
};

void weight_staging::forget_finished(instant now, const runner_registry& registry)
{
    std::erase_if(under_way_, [&](const auto& each) {
        const auto& [runner, transfer] = each;
        const auto* record = registry.find(runner);
        return record == nullptr || has_staged(record->latest, transfer.model) ||
               now >= transfer.overdue_at;
    });
}

std::vector<staging_order> weight_staging::plan(instant now, const placement_snapshot& in,
                                                load_limiter& loads)
{
    plan_step step{now, in, loads, {}};
    stage_missing(step);
    stage_empty_runners(step);
    return std::move(step.orders);
}

std::size_t weight_staging::count_staged(const runner_list& runners, const model_id& model) const
{
    return static_cast<std::size_t>(
        std::count_if(runners.begin(), runners.end(), [&](const runner_snapshot* runner) {
            const auto found = under_way_.find(runner->latest->id);
            return found != under_way_.end() ? found->second.model == model
                                             : has_staged(*runner->latest, model);
        }));
}

bool weight_staging::may_load(const plan_step& step) const
{
    return step.loads.allows(step.now, 1, step.in.joins_loading + under_way_.size());
}

void weight_staging::begin(plan_step& step, const runner_snapshot& runner,
                           const engine_model& model)
{
    const auto& id = runner.latest->id;
    step.loads.begin(step.now, 1);
    under_way_[id] = {model.name, step.now + model.load_time * load_times_to_overdue};
    step.orders.push_back({id, model.name});
}

void weight_staging::stage_missing(plan_step& step)
{
    for (const auto& service : step.in.configuration->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            if (step.in.count_groups(model.name) < wanted_groups(step.in, service, model)) {
                stage_for_group(step, model);
            }
        }
    }
}

void weight_staging::stage_for_group(plan_step& step, const engine_model& model)
{
    const auto* runners = find_domain(step.in, model);
    if (runners == nullptr) {
        return;
    }
    auto missing = model.group_size - count_staged(*runners, model.name);
    for (; missing > 0; --missing) {
        const auto* runner = find_runner(*runners, model);
        if (runner == nullptr || !may_load(step)) {
            return;
        }
        begin(step, *runner, model);
    }
}

const weight_staging::runner_list* weight_staging::find_domain(const placement_snapshot& in,
                                                               const engine_model& model) const
{
    // The domain that lacks the fewest weights for a group. One that lacks none has its group
    // already, or is about to.
    const runner_list* best = nullptr;
    std::size_t most_staged = 0;
    for (const auto& [domain, runners] : in.free) {
        const auto staged = count_staged(runners, model.name);
        const bool suits = in.preferred.allows(domain, model.name) &&
                           runners.size() >= model.group_size && staged < model.group_size;
        if (suits && (best == nullptr || staged > most_staged)) {
            best = &runners;
            most_staged = staged;
        }
    }
    return best;
}

const runner_snapshot* weight_staging::find_runner(const runner_list& runners,
                                                   const engine_model& model) const
{
    const runner_snapshot* best = nullptr;
    for (const auto* runner : runners) {
        const auto& staged = runner->latest->staged;
        if (is_under_way(runner->latest->id) || has_staged(*runner->latest, model.name)) {
            continue;
        }
        if (staged.empty()) {
            return runner;
        }
        // Weights that other runners there have as well are the ones to replace.
        if (best == nullptr && count_staged(runners, staged.front()) > 1) {
            best = runner;
        }
    }
    return best;
}

void weight_staging::stage_empty_runners(plan_step& step)
{
    for (const auto& [domain, runners] : step.in.free) {
        for (const auto* runner : runners) {
            const bool empty = runner->latest->staged.empty() && !is_under_way(runner->latest->id);
            if (empty && may_load(step)) {
                begin(step, *runner, rarest_model(step.in, *runner, runners));
            }
        }
    }
}

const engine_model& weight_staging::rarest_model(const placement_snapshot& in,
                                                 const runner_snapshot& runner,
                                                 const runner_list& peers) const
{
    const auto& models = in.configuration->find_service(runner.latest->service)->engine->models;
    const engine_model* out = nullptr;
    std::size_t fewest = 0;
    for (const auto& model : models) {
        const auto staged = count_staged(peers, model.name);
        const bool suits = in.preferred.allows(runner.latest->fabric_domain, model.name);
        if (suits && (out == nullptr || staged < fewest)) {
            out = &model;
            fewest = staged;
        }
    }
    return out == nullptr ? models.front() : *out;
}

} // namespace cedarpoint

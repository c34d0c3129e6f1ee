#include "cedarpoint/fleet/weight_staging.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cedarpoint {
namespace {

/// A transfer that is not complete after this many times the load time counts as failed, and the
/// runner may be chosen again.
constexpr int load_times_to_overdue = 2;

/// An order that has failed or was not answered is sent again after `repeat_interval`. After
/// `unanswered_limit` without success the transfer is dropped; until then it occupies one of the
/// store's concurrent loads.
constexpr duration repeat_interval = seconds{1};
constexpr duration unanswered_limit = seconds{6};

/// Lower bound of the factor by which a group's value is reduced if few runners of the fabric
/// domain hold its model. The factor favours one model in each domain, because the remaining
/// members of two failed groups of the same model can form a group without the store.
constexpr double min_affinity_factor = 0.1;

/// Added to the load time, so that the value of a group that lacks no weights is finite.
constexpr double base_load_s = 0.1;

/// Returns the service's models by falling utilization.
std::vector<const engine_model*> by_utilization(const placement_snapshot& in,
                                                const fleet_service& service)
{
    std::vector<const engine_model*> out;
    for (const auto& model : service.engine->models) {
        out.push_back(&model);
    }
    const auto utilization = [&](const engine_model* model) {
        return utilization_with(in, service, *model, in.count_with_expected(model->name));
    };
    std::stable_sort(out.begin(), out.end(),
                     [&](const auto* a, const auto* b) { return utilization(a) > utilization(b); });
    return out;
}

/// Returns true if the runner serves a model and its host holds no weights of another one.
bool lacks_alternate(const runner_snapshot& runner)
{
    const auto& staged = runner.latest->staged;
    return runner.usable && runner.settled && !runner.free && runner.last_model != nullptr &&
           std::all_of(staged.begin(), staged.end(),
                       [&](const model_id& model) { return model == *runner.last_model; });
}

/// Returns the value of completing a group per second of loading from the store: the model's
/// utilization divided by the load time of the `lacking` members plus `base_load_s`.
double completion_worth(const placement_snapshot& in, const fleet_service& service,
                        const engine_model& model, std::size_t lacking)
{
    const auto groups = in.count_with_expected(model.name);
    const auto load_s = std::chrono::duration<double>(model.load_time).count();
    return utilization_with(in, service, model, groups) /
           (load_s * static_cast<double>(lacking) + base_load_s);
}

/// Returns true if placement forms no group of the first of `runners`, which will all have the
/// model's weights: it has decided against it, or would once the weights are there.
bool is_declined(const placement_snapshot& in, const fleet_service& service,
                 const engine_model& model, const weight_staging::runner_list& runners,
                 std::size_t first)
{
    const auto end = runners.begin() + static_cast<std::ptrdiff_t>(first);
    return std::all_of(runners.begin(), end,
                       [&](const auto* runner) { return can_join_soon(*runner, model); }) ||
           !std::all_of(runners.begin(), end, [&](const auto* runner) {
               return may_join_idle(in, service, *runner, model);
           });
}

} // namespace

/// The inputs and the result of one call of `plan`.
struct weight_staging::plan_step {
    instant now;
    const placement_snapshot& in;
    weight_load_limiter& loads;
    std::vector<staging_order> orders;
};

/// The weights that one group lacks.
struct weight_staging::completion {
    const engine_model* model = nullptr;
    std::vector<const runner_snapshot*> lacking; ///< the runners to stage on
    double worth = 0;                            ///< the highest is staged first
};

void weight_staging::remove_finished(instant now, const runner_registry& registry)
{
    std::erase_if(under_way_, [&](const auto& each) {
        const auto& [runner, transfer] = each;
        const auto* record = registry.find(runner);
        const bool unanswered = transfer.unanswered_until && now >= *transfer.unanswered_until;
        return record == nullptr || has_staged(record->latest, transfer.model) || unanswered ||
               now >= transfer.overdue_at;
    });
}

std::vector<staging_order> weight_staging::plan(instant now, const placement_snapshot& in,
                                                weight_load_limiter& loads)
{
    plan_step step{now, in, loads, {}};
    repeat_unanswered(step);
    for (const auto& service : in.configuration->services) {
        if (!service.engine || service.engine->models.empty()) {
            continue;
        }
        const auto models = by_utilization(in, service);
        if (may_load(step)) {
            complete_groups(step, service, models);
            prepare_conversion(step, service, models);
            stage_empty_runners(step, service, models);
        }
        for (const auto* model : models) {
            stage_alternates(step, service, *model);
        }
    }
    return std::move(step.orders);
}

bool weight_staging::will_have(const runner_snapshot& runner, const engine_model& model) const
{
    const auto found = under_way_.find(runner.latest->id);
    return has_loaded(runner, model) ||
           (found != under_way_.end() ? found->second.model == model.name
                                      : has_staged(*runner.latest, model.name));
}

ready_counts weight_staging::count_ready(const runner_list& runners,
                                         const engine_model& model) const
{
    ready_counts out;
    for (const auto* runner : runners) {
        const bool now = can_join_soon(*runner, model);
        out.now += now ? 1 : 0;
        out.soon += !now && will_have(*runner, model) ? 1 : 0;
    }
    return out;
}

bool weight_staging::may_load(const plan_step& step) const
{
    return step.loads.allows(step.now, 1, step.in.joins_loading + under_way_.size());
}

bool weight_staging::may_load_ahead(const plan_step& step) const
{
    return step.loads.allows_background(step.now, step.in.joins_loading + under_way_.size());
}

void weight_staging::begin(plan_step& step, const runner_snapshot& runner,
                           const engine_model& model)
{
    const auto& id = runner.latest->id;
    step.loads.begin(step.now, 1);
    under_way_[id] = {model.name,
                      step.now + model.load_time * load_times_to_overdue,
                      step.now + unanswered_limit,
                      {}};
    step.orders.push_back({id, model.name});
}

void weight_staging::repeat_unanswered(plan_step& step)
{
    for (auto& [runner, transfer] : under_way_) {
        if (transfer.repeat_at && step.now >= *transfer.repeat_at) {
            transfer.repeat_at.reset();
            step.orders.push_back({runner, transfer.model});
        }
    }
}

void weight_staging::on_order_result(instant now, const runner_id& runner, const model_id& model,
                                     order_result result)
{
    const auto found = under_way_.find(runner);
    if (found == under_way_.end() || found->second.model != model) {
        return;
    }
    if (result == order_result::taken) {
        found->second.unanswered_until.reset();
    }
    else {
        found->second.repeat_at = now + repeat_interval;
    }
}

void weight_staging::complete_groups(plan_step& step, const fleet_service& service,
                                     const std::vector<const engine_model*>& models)
{
    std::vector<completion> all;
    for (const auto& [domain, runners] : step.in.free) {
        runner_list left;
        std::copy_if(runners.begin(), runners.end(), std::back_inserter(left),
                     [&](const runner_snapshot* runner) {
                         return runner->latest->service == service.name &&
                                runner->reserved_for == nullptr;
                     });
        while (auto next = find_completion(step.in, service, models, domain, left)) {
            all.push_back(std::move(*next));
        }
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& a, const auto& b) { return a.worth > b.worth; });
    for (const auto& each : all) {
        for (const auto* runner : each.lacking) {
            if (!may_load(step)) {
                return;
            }
            begin(step, *runner, *each.model);
        }
    }
}

void weight_staging::prepare_conversion(plan_step& step, const fleet_service& service,
                                        const std::vector<const engine_model*>& models)
{
    const auto& to = *models.front();
    std::vector<const runner_snapshot*> best;
    for (const auto& [domain, runners] : find_convertible(step.in, service, models)) {
        runner_list lacking;
        std::copy_if(runners.begin(), runners.end(), std::back_inserter(lacking),
                     [&](const runner_snapshot* runner) { return !will_have(*runner, to); });
        const auto ready = runners.size() - lacking.size();
        const bool fits = runners.size() >= to.group_size && ready < to.group_size;
        if (!fits) {
            continue;
        }
        lacking.resize(to.group_size - ready);
        if (best.empty() || lacking.size() < best.size()) {
            best = std::move(lacking);
        }
    }
    for (const auto* runner : best) {
        if (is_under_way(runner->latest->id) || !may_load(step)) {
            return;
        }
        begin(step, *runner, to);
    }
}

std::map<fabric_domain_id, weight_staging::runner_list>
weight_staging::find_convertible(const placement_snapshot& in, const fleet_service& service,
                                 const std::vector<const engine_model*>& models)
{
    const auto& to = *models.front();
    std::map<fabric_domain_id, runner_list> out;
    for (const auto& runner : in.runners) {
        const bool usable = runner.latest->service == service.name && runner.usable &&
                            runner.settled && runner.reserved_for == nullptr;
        if (!usable) {
            continue;
        }
        auto& there = out[runner.latest->fabric_domain];
        if (runner.free) {
            there.insert(there.begin(), &runner);
            continue;
        }
        const auto* from = runner.last_model == nullptr
                               ? nullptr
                               : in.configuration->find_model(service.name, *runner.last_model);
        const bool is_donor =
            from != nullptr && from->name != to.name &&
            is_worth_switching(in, service, *from, in.count_with_expected(from->name), to);
        if (is_donor) {
            there.push_back(&runner);
        }
    }
    return out;
}

std::optional<weight_staging::completion>
weight_staging::find_completion(const placement_snapshot& in, const fleet_service& service,
                                const std::vector<const engine_model*>& models,
                                const fabric_domain_id& domain, runner_list& left) const
{
    const auto held = count_held(in, domain);
    std::optional<completion> best;
    runner_list best_left;
    for (const auto* model : models) {
        const auto ready_end =
            std::stable_partition(left.begin(), left.end(), [&](const runner_snapshot* runner) {
                return will_have(*runner, *model);
            });
        std::stable_partition(left.begin(), ready_end, [&](const runner_snapshot* runner) {
            return may_join_idle(in, service, *runner, *model);
        });
        const auto ready = std::min<std::size_t>(static_cast<std::size_t>(ready_end - left.begin()),
                                                 model->group_size);
        completion next;
        next.model = model;
        runner_list others{left.begin() + static_cast<std::ptrdiff_t>(ready), left.end()};
        std::erase_if(others, [&](const runner_snapshot* runner) {
            const bool taken = next.lacking.size() < model->group_size - ready &&
                               !is_under_way(runner->latest->id);
            if (taken) {
                next.lacking.push_back(runner);
            }
            return taken;
        });
        if ((next.lacking.empty() && is_declined(in, service, *model, left, ready)) ||
            ready + next.lacking.size() < model->group_size) {
            continue;
        }
        next.worth = completion_worth(in, service, *model, next.lacking.size()) *
                     affinity_factor(held, model->name);
        if (!best || next.worth > best->worth) {
            best = std::move(next);
            best_left = std::move(others);
        }
    }
    if (best) {
        left = std::move(best_left);
    }
    return best;
}

void weight_staging::stage_empty_runners(plan_step& step, const fleet_service& service,
                                         const std::vector<const engine_model*>& models)
{
    for (const auto& runner : step.in.runners) {
        const bool empty = runner.free && runner.latest->staged.empty() &&
                           runner.last_model == nullptr && !is_under_way(runner.latest->id);
        if (runner.latest->service != service.name || !empty || !may_load(step)) {
            continue;
        }
        const auto held = count_held(step.in, runner.latest->fabric_domain);
        const auto* most = *std::max_element(
            models.begin(), models.end(), [&](const engine_model* a, const engine_model* b) {
                return affinity_factor(held, a->name) < affinity_factor(held, b->name);
            });
        begin(step, runner, *most);
    }
}

weight_staging::model_counts weight_staging::count_held(const placement_snapshot& in,
                                                        const fabric_domain_id& domain) const
{
    model_counts out;
    for (const auto& runner : in.runners) {
        if (runner.latest->fabric_domain != domain || !runner.usable) {
            continue;
        }
        const auto found = under_way_.find(runner.latest->id);
        if (runner.last_model != nullptr) {
            ++out[*runner.last_model];
        }
        else if (found != under_way_.end()) {
            ++out[found->second.model];
        }
        else if (!runner.latest->staged.empty()) {
            ++out[runner.latest->staged.front()];
        }
    }
    return out;
}

double weight_staging::affinity_factor(const model_counts& held, const model_id& model)
{
    std::size_t all = 0;
    for (const auto& [each, count] : held) {
        all += count;
    }
    const auto found = held.find(model);
    const auto own = found == held.end() ? 0 : found->second;
    return all == 0
               ? 1
               : std::max(static_cast<double>(own) / static_cast<double>(all), min_affinity_factor);
}

void weight_staging::stage_alternates(plan_step& step, const fleet_service& service,
                                      const engine_model& model)
{
    for (const auto& runner : step.in.runners) {
        if (!may_load_ahead(step)) {
            return;
        }
        if (runner.latest->service == service.name && lacks_alternate(runner) &&
            !has_loaded(runner, model) && !is_under_way(runner.latest->id)) {
            begin(step, runner, model);
        }
    }
}

} // namespace cedarpoint

// Which free runners form which groups, and which weights are brought to whom ahead of need.

#include "cedarpoint/fleet/group_planner.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace cedarpoint {
namespace {

bool contains(const std::vector<model_id>& in, const model_id& model)
{
    return std::find(in.begin(), in.end(), model) != in.end();
}

} // namespace

bool group_planner::is_free(instant now, const runner_record& record) const
{
    const auto& runner = record.latest.id;
    const auto& membership = record.latest.membership;
    const bool bound = membership && !released_.contains({membership->group, runner});
    const bool silent = now - record.heard > options_.heartbeat * 3 / 2;
    return !record.assumed && registry_.is_present(record) && !placed_.contains(runner) && !bound &&
           !silent && !is_doubted(runner, 1) && !record.latest.draining &&
           !state_.is_leaving(runner);
}

group_planner::free_map group_planner::free_runners(instant now) const
{
    free_map out;
    for (const auto& [runner, record] : registry_.records()) {
        const auto* service = configuration_->find_service(record.latest.service);
        if (service != nullptr && service->engine && is_free(now, record)) {
            out[record.latest.fabric_domain].push_back(runner);
        }
    }
    return out;
}

duration group_planner::join_time(const runner_record& record, const engine_model& model) const
{
    constexpr duration again = milliseconds{200};
    const auto last = last_model_.find(record.latest.id);
    if (last != last_model_.end() && last->second == model.name) {
        return again;
    }
    return contains(record.latest.staged, model.name) ? model.warm_time : model.load_time;
}

std::size_t group_planner::count_groups(const model_id& model) const
{
    return static_cast<std::size_t>(
        std::count_if(groups_.begin(), groups_.end(), [&](const auto& each) {
            return each.second.model == model && each.second.phase <= plan_phase::serving &&
                   !finished_.contains(each.first);
        }));
}

std::size_t group_planner::joins_loading() const
{
    std::size_t out = 0;
    for (const auto& [name, group] : groups_) {
        out += group.phase == plan_phase::joining ? group.loads : 0;
    }
    return out;
}

std::optional<group_planner::proposal>
group_planner::propose(instant now, const fleet_service& service, const engine_model& model,
                       const std::vector<runner_id>& free) const
{
    if (count_groups(model.name) >= wanted_groups(now, service, model)) {
        return {};
    }
    std::vector<std::pair<duration, runner_id>> candidates;
    for (const auto& runner : free) {
        const auto& record = *registry_.find(runner);
        if (record.latest.service == service.name && !staging_.contains(runner)) {
            candidates.emplace_back(join_time(record, model), runner);
        }
    }
    if (candidates.size() < model.group_size) {
        return {};
    }
    std::sort(candidates.begin(), candidates.end());
    candidates.resize(model.group_size);
    const bool has_traffic = sightings_.started() > 0;
    if (has_traffic && candidates.back().first == model.load_time) {
        return {}; // it would hold runners for as long as weights are read; they are staged instead
    }
    proposal out;
    out.service = &service;
    out.model = &model;
    for (const auto& [time, runner] : candidates) {
        out.members.push_back(runner);
        out.loads += time == model.load_time ? 1 : 0;
    }
    // The fuller a model's groups, the sooner it gets one more; a long wait speaks against it.
    constexpr double per_second_of_wait = 0.03;
    constexpr double us = 1e6;
    const auto groups = static_cast<double>(count_groups(model.name));
    const auto wanted = static_cast<double>(wanted_groups(now, service, model));
    out.score = groups / std::max(wanted, 1.0) - pressure(now, service, model) +
                per_second_of_wait * static_cast<double>(candidates.back().first.count()) / us;
    return out;
}

std::size_t group_planner::count_runners(const service_id& service) const
{
    std::size_t out = 0;
    for (const auto& [runner, record] : registry_.records()) {
        out += is_in_use(record, service) ? 1 : 0;
    }
    return out;
}

bool group_planner::is_in_use(const runner_record& record, const service_id& service) const
{
    return record.latest.service == service && registry_.is_present(record) &&
           !is_doubted(record.latest.id, 1) && !record.latest.draining;
}

double group_planner::pressure(instant now, const fleet_service& service,
                               const engine_model& model) const
{
    int in_flight = 0;
    int places = 0;
    for (const auto& [name, group] : groups_) {
        if (group.model == model.name && group.phase == plan_phase::serving) {
            in_flight += sightings_.look(now, group.members.front()).in_flight;
            places += service.engine->slots;
        }
    }
    const auto waiting = sightings_.refused_rate(now, model.name);
    return (in_flight + waiting) / std::max(places, 1);
}

std::size_t group_planner::groups_at_home(const fleet_service& service,
                                          const engine_model& model) const
{
    std::map<fabric_domain_id, std::size_t> runners;
    for (const auto& [runner, record] : registry_.records()) {
        if (is_in_use(record, service.name) && is_home(record.latest.fabric_domain, model.name)) {
            ++runners[record.latest.fabric_domain];
        }
    }
    std::size_t out = 0;
    for (const auto& [domain, count] : runners) {
        out += count / std::max<std::size_t>(model.group_size, 1);
    }
    return out;
}

std::size_t group_planner::shared_groups(const fleet_service& service) const
{
    // The rest are spares: what a lost member is replaced with at once.
    constexpr double used = 0.8;
    double runners_a_round = 0; ///< one group of each model
    for (const auto& each : service.engine->models) {
        runners_a_round += static_cast<double>(each.group_size);
    }
    const auto runners = static_cast<double>(count_runners(service.name)) * used;
    return static_cast<std::size_t>(
        std::lround(std::max(1.0, runners / std::max(runners_a_round, 1.0))));
}

std::size_t group_planner::wanted_groups(instant now, const fleet_service& service,
                                         const engine_model& model) const
{
    constexpr double pressed = 0.5;
    // In a domain of one model every group that fits is worth having: when one breaks, its
    // survivors are the spares of the others.
    const auto base = homes_.empty() ? shared_groups(service)
                                     : std::max<std::size_t>(groups_at_home(service, model), 1);
    const auto groups = count_groups(model.name);
    const bool is_pressed = groups >= base && pressure(now, service, model) > pressed;
    return is_pressed ? groups + 1 : base;
}

std::optional<group_planner::proposal> group_planner::best_proposal(instant now,
                                                                    const free_map& free) const
{
    std::optional<proposal> best;
    for (const auto& [domain, runners] : free) {
        for (const auto& service : configuration_->services) {
            if (!service.engine) {
                continue;
            }
            for (const auto& model : service.engine->models) {
                // Elsewhere only with weights that are there already.
                auto next = propose(now, service, model, runners);
                if (next && next->loads > 0 && !is_home(domain, model.name)) {
                    next.reset();
                }
                const bool allowed = next && loads_.allows(now, next->loads, joins_loading());
                if (allowed && (!best || next->score < best->score)) {
                    best = std::move(next);
                }
            }
        }
    }
    return best;
}

void group_planner::forget_staged()
{
    std::erase_if(staging_, [&](const auto& each) {
        const auto* record = registry_.find(each.first);
        return record == nullptr || contains(record->latest.staged, each.second.first);
    });
}

void group_planner::assign_homes()
{
    std::map<std::pair<failure_domain_id, service_id>, std::set<fabric_domain_id>> zones;
    for (const auto& [runner, record] : registry_.records()) {
        const auto* service = configuration_->find_service(record.latest.service);
        if (service != nullptr && service->engine) {
            zones[{record.latest.failure_domain, service->name}].insert(
                record.latest.fabric_domain);
        }
    }
    homes_.clear();
    std::map<model_id, double> given; ///< domains, against what the model's share asks for
    for (const auto& [zone, domains] : zones) {
        const auto& models = configuration_->find_service(zone.second)->engine->models;
        std::set<model_id> here;
        for (const auto& domain : domains) {
            const auto& chosen = choose_home(models, here, given);
            homes_[domain] = chosen.name;
            here.insert(chosen.name);
            given[chosen.name] += 1;
        }
    }
    drop_homes_if_short(given);
}

const engine_model& group_planner::choose_home(const std::vector<engine_model>& models,
                                               const std::set<model_id>& here,
                                               const std::map<model_id, double>& given)
{
    constexpr double smallest_share = 0.01;
    constexpr double absent_here = 1000; ///< goes before every share
    const auto score = [&](const engine_model& model) {
        const auto need =
            std::max(model.share, smallest_share) * static_cast<double>(model.group_size);
        const auto has = given.find(model.name);
        return (here.contains(model.name) ? 0 : absent_here) +
               need / ((has == given.end() ? 0 : has->second) + 1);
    };
    return *std::max_element(
        models.begin(), models.end(),
        [&](const engine_model& a, const engine_model& b) { return score(a) < score(b); });
}

void group_planner::drop_homes_if_short(const std::map<model_id, double>& given)
{
    for (const auto& service : configuration_->services) {
        const bool short_of_domains =
            service.engine &&
            std::any_of(service.engine->models.begin(), service.engine->models.end(),
                        [&](const auto& model) { return !given.contains(model.name); });
        if (short_of_domains) {
            homes_.clear(); // some model would have no place: the domains are shared
        }
    }
}

bool group_planner::is_home(const fabric_domain_id& domain, const model_id& model) const
{
    const auto found = homes_.find(domain);
    return found == homes_.end() || found->second == model;
}

bool group_planner::has_heard_fleet(instant now) const
{
    constexpr duration quiet = milliseconds{700};
    const auto latest = registry_.latest_news();
    return sightings_.started() > 0 || !latest || now - *latest >= quiet;
}

void group_planner::form(instant now)
{
    assign_homes();
    forget_staged();
    std::erase_if(staging_, [&](const auto& each) { return now >= each.second.second; });
    auto free = free_runners(now);
    for (auto chosen = best_proposal(now, free); chosen; chosen = best_proposal(now, free)) {
        begin_group(now, *chosen, free);
    }
    stage_missing(now, free);
    stage_spares(now, free);
}

std::size_t group_planner::count_staged(const std::vector<runner_id>& runners,
                                        const model_id& model) const
{
    return static_cast<std::size_t>(
        std::count_if(runners.begin(), runners.end(), [&](const runner_id& runner) {
            const auto under_way = staging_.find(runner);
            return under_way != staging_.end()
                       ? under_way->second.first == model
                       : contains(registry_.find(runner)->latest.staged, model);
        }));
}

const runner_record* group_planner::find_to_stage(const std::vector<runner_id>& runners,
                                                  const engine_model& model) const
{
    const runner_record* best = nullptr;
    for (const auto& runner : runners) {
        const auto& record = *registry_.find(runner);
        if (staging_.contains(runner) || contains(record.latest.staged, model.name)) {
            continue;
        }
        if (record.latest.staged.empty()) {
            return &record;
        }
        // Weights that others have beside it are the ones to give up.
        const auto& other = record.latest.staged.front();
        if (best == nullptr && count_staged(runners, other) > 1) {
            best = &record;
        }
    }
    return best;
}

void group_planner::stage_missing(instant now, const free_map& free)
{
    for (const auto& service : configuration_->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            if (count_groups(model.name) < wanted_groups(now, service, model)) {
                stage_for_group(now, free, model);
            }
        }
    }
}

void group_planner::stage_for_group(instant now, const free_map& free, const engine_model& model)
{
    // Where the fewest weights are missing; not more than one group's at a time.
    const std::vector<runner_id>* best = nullptr;
    std::size_t best_missing = 0;
    for (const auto& [domain, runners] : free) {
        const auto staged = count_staged(runners, model.name);
        if (!is_home(domain, model.name)) {
            continue;
        }
        if (runners.size() < model.group_size || staged >= model.group_size) {
            continue;
        }
        const auto missing = model.group_size - staged;
        if (best == nullptr || missing < best_missing) {
            best = &runners;
            best_missing = missing;
        }
    }
    for (; best != nullptr && best_missing > 0; --best_missing) {
        const auto* record = find_to_stage(*best, model);
        if (record == nullptr || !loads_.allows(now, 1, joins_loading() + staging_.size())) {
            return;
        }
        stage(now, *record, model);
    }
}

const engine_model& group_planner::rarest_home(const std::vector<engine_model>& models,
                                               const fabric_domain_id& domain,
                                               const std::vector<runner_id>& runners) const
{
    const engine_model* out = &models.front();
    std::size_t fewest = std::numeric_limits<std::size_t>::max();
    for (const auto& model : models) {
        const auto staged = count_staged(runners, model.name);
        if (is_home(domain, model.name) && staged < fewest) {
            out = &model;
            fewest = staged;
        }
    }
    return *out;
}

void group_planner::stage_spares(instant now, const free_map& free)
{
    for (const auto& [domain, runners] : free) {
        for (const auto& runner : runners) {
            const auto& record = *registry_.find(runner);
            if (!record.latest.staged.empty() || staging_.contains(runner) ||
                !loads_.allows(now, 1, joins_loading() + staging_.size())) {
                continue;
            }
            const auto& models =
                configuration_->find_service(record.latest.service)->engine->models;
            stage(now, record, rarest_home(models, record.latest.fabric_domain, runners));
        }
    }
}

void group_planner::stage(instant now, const runner_record& record, const engine_model& model)
{
    loads_.begin(now, 1);
    staging_[record.latest.id] = {model.name, now + model.load_time * 2};
    group_order next;
    next.kind = order_kind::stage;
    next.to = record.latest.id;
    next.address = record.latest.address;
    next.fence = term_;
    next.model = model.name;
    steps_.push_back({planner_step::kind_t::order, std::move(next)});
}

} // namespace cedarpoint

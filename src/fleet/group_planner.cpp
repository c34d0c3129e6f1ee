#include "cedarpoint/fleet/group_planner.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cedarpoint {
namespace {

/// An epoch is the leader's term above this many bits of a counter, so that it is above all epochs
/// of earlier leaders.
constexpr unsigned term_shift = 20;

/// The fleet counts as announced once no new runner was heard for this long. Not measured; it came
/// with "no group before the fleet has announced itself", after runners of a domain had been given
/// to the wrong model (TDV grown scale-1).
constexpr duration start_quiet_time = milliseconds{700};

epoch make_epoch(std::uint64_t term, std::uint64_t number)
{
    return epoch{(term << term_shift) + number};
}

} // namespace

group_planner::group_planner(planner_options options, const runner_registry& registry,
                             const health_reports& reports, const fleet_state& state)
    : options_{options}, registry_{registry}, reports_{reports}, state_{state},
      outbox_{options, registry}, detector_{options, registry, reports, state},
      lifecycle_{options, plan_, outbox_, detector_, registry, reports, state}, recovery_{
                                                                                    plan_,
                                                                                    lifecycle_,
                                                                                    registry, state}
{
}

void group_planner::begin_term(instant now, std::uint64_t term)
{
    term_ = term;
    groups_formed_ = 0;
    settled_at_ = now + options_.settle;
    plan_.clear();
    outbox_.begin_term(term);
    detector_.begin_term();
    staging_.clear();
    recovery_.inherit_logged_groups(now);
}

void group_planner::set_configuration(const fleet_configuration* configuration)
{
    configuration_ = configuration;
    for (const auto& service : configuration->services) {
        if (service.engine) {
            loads_.set_limits(service.engine->loads_per_second, service.engine->loads_at_once);
        }
    }
}

void group_planner::set_event_handler(std::function<void(const plan_event&)> handler)
{
    lifecycle_.on_event = std::move(handler);
}

void group_planner::on_order_result(instant now, const group_order& order, order_result result)
{
    lifecycle_.on_order_result(now, order, result);
}

void group_planner::on_probe_failed(const runner_id& runner, bool refused)
{
    detector_.on_probe_failed(runner, refused);
}

void group_planner::on_alive(const runner_id& runner)
{
    detector_.on_alive(runner);
}

std::vector<planner_step> group_planner::tick(instant now)
{
    if (configuration_ == nullptr) {
        return {};
    }
    loads_.set_unmetered(!reports_.has_traffic());
    if (is_settled(now)) {
        recovery_.adopt_reported_groups(now, *configuration_);
    }
    lifecycle_.advance_all(now);
    if (is_settled(now) && has_heard_fleet(now)) {
        form_groups(now);
    }
    return outbox_.take();
}

bool group_planner::has_heard_fleet(instant now) const
{
    // Which models the fabric domains prefer depends on all runners: groups that are formed before
    // the others are heard may hold runners of the wrong model.
    const auto latest = registry_.latest_news();
    return reports_.has_traffic() || !latest || now - *latest >= start_quiet_time;
}

void group_planner::form_groups(instant now)
{
    staging_.forget_finished(now, registry_);
    auto in = take_snapshot(now);
    while (const auto proposed = group_placement::propose(now, in, loads_)) {
        begin_group(now, *proposed);
        auto& free = in.free.at(proposed->domain);
        std::erase_if(free, [&](const runner_snapshot* runner) {
            return plan_.is_bound(runner->latest->id);
        });
        in.groups = plan_.count_active();
        in.joins_loading = plan_.count_loads();
    }
    for (const auto& order : staging_.plan(now, in, loads_)) {
        outbox_.stage(order.runner, order.model);
    }
}

void group_planner::begin_group(instant now, const proposed_group& proposed)
{
    planned_group group;
    group.assignment = make_epoch(term_, ++groups_formed_);
    group.members = proposed.members;
    group.name = make_group_name(group.head(), group.assignment);
    group.service = proposed.service->name;
    group.model = proposed.model->name;
    group.loads = proposed.loads;
    loads_.begin(now, proposed.loads);
    lifecycle_.begin(now, std::move(group));
}

// --- what placement decides from ----------------------------------------------------------------

bool group_planner::is_usable(const runner_record& record) const
{
    return registry_.is_present(record) && !detector_.is_suspected(record.latest.id) &&
           !record.latest.draining;
}

bool group_planner::is_free(instant now, const runner_record& record) const
{
    const auto& runner = record.latest.id;
    const auto& membership = record.latest.membership;
    const bool in_group = membership && !plan_.is_freed(record.latest);
    return is_usable(record) && !record.assumed && !plan_.is_bound(runner) && !in_group &&
           !detector_.is_silent(now, record) && !state_.is_leaving(runner);
}

placement_snapshot group_planner::take_snapshot(instant now) const
{
    placement_snapshot out;
    out.configuration = configuration_;
    out.groups = plan_.count_active();
    out.joins_loading = plan_.count_loads();
    out.has_traffic = reports_.has_traffic();
    add_runners(now, out);
    add_loads(now, out);
    return out;
}

void group_planner::add_runners(instant now, placement_snapshot& out) const
{
    std::vector<runner_place> places;
    for (const auto& [runner, record] : registry_.records()) {
        const auto* service = configuration_->find_service(record.latest.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        out.runners.push_back({&record.latest, is_usable(record), is_free(now, record),
                               staging_.is_under_way(runner), plan_.last_model_of(runner)});
        places.push_back(
            {service->name, record.latest.failure_domain, record.latest.fabric_domain});
    }
    for (const auto& runner : out.runners) {
        if (runner.free) {
            out.free[runner.latest->fabric_domain].push_back(&runner);
        }
    }
    out.preferred = preferred_models::assign(*configuration_, places);
}

void group_planner::add_loads(instant now, placement_snapshot& out) const
{
    for (const auto& service : configuration_->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            const placement_snapshot::model_key key{service.name, model.name};
            out.loads[key] = measure_load(now, service, model);
            out.base_groups[key] = base_groups(out, service, model);
        }
    }
}

model_load group_planner::measure_load(instant now, const fleet_service& service,
                                       const engine_model& model) const
{
    model_load out;
    for (const auto& [name, group] : plan_.groups()) {
        if (group.model == model.name && group.phase == plan_phase::serving) {
            out.in_flight += reports_.health_of(now, group.head()).in_flight;
            out.slots += service.engine->slots;
        }
    }
    out.rejections_per_s = reports_.rejection_rate(now, model.name);
    return out;
}

// --- the log's summary --------------------------------------------------------------------------

std::string group_planner::summary(instant now) const
{
    if (configuration_ == nullptr) {
        return {};
    }
    const auto in = take_snapshot(now);
    return summarize_models(in) + summarize_free(in);
}

std::string group_planner::summarize_models(const placement_snapshot& in) const
{
    std::string out;
    for (const auto& service : configuration_->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            const auto serving =
                std::count_if(groups().begin(), groups().end(), [&](const auto& each) {
                    return each.second.model == model.name &&
                           each.second.phase == plan_phase::serving;
                });
            out += fmt::format("{}: {} serving of {} planned of {} wanted, utilization {:.2f}; ",
                               model.name.str(), serving, in.count_groups(model.name),
                               wanted_groups(in, service, model),
                               in.load_of(service, model).utilization());
        }
    }
    return out;
}

std::string group_planner::summarize_free(const placement_snapshot& in) const
{
    std::string out;
    std::size_t free = 0;
    for (const auto& [domain, runners] : in.free) {
        free += runners.size();
        out += fmt::format("{}: {} free", domain.str(), runners.size());
        const auto* service = configuration_->find_service(runners.front()->latest->service);
        for (const auto& model : service->engine->models) {
            out += fmt::format(", {} with {}", staging_.count_staged(runners, model.name),
                               model.name.str());
        }
        out += "; ";
    }
    return out + fmt::format("{} joins loading, {} staging, {} free", in.joins_loading,
                             staging_.count(), free);
}

} // namespace cedarpoint

#include "cedarpoint/fleet/group_planner.h"

#include "cedarpoint/fleet/group_targets.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cedarpoint {
namespace {

/// The fleet counts as announced when no new runner has announced itself for this long. Groups
/// formed earlier may assign a domain's runners to the wrong model.
constexpr duration start_quiet_time = milliseconds{700};

} // namespace

group_planner::group_planner(planner_options options, const runner_registry& registry,
                             const health_reports& reports, const fleet_state& state)
    : options_{options}, registry_{registry}, reports_{reports}, state_{state},
      outbox_{options, registry}, detector_{options, registry, reports, state},
      lifecycle_{options, plan_, outbox_, epochs_, detector_, registry, reports, state},
      recovery_{plan_, lifecycle_, registry, state}
{
}

void group_planner::begin_term(instant now, std::uint64_t term)
{
    epochs_.begin_term(term);
    settled_at_ = now + options_.settle;
    plan_.clear();
    outbox_.begin_term(term, !state_.registrations().empty());
    detector_.begin_term();
    staging_.clear();
    conversions_.clear();
    work_.clear();
    recovery_.inherit_logged_groups(now);
    took_over_groups_ = !plan_.groups().empty();
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
    outbox_.on_order_result(now, order, result);
    if (order.kind == order_kind::stage) {
        staging_.on_order_result(now, order.to, order.model, result);
        return;
    }
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

void group_planner::on_report(instant now, const runner_id& runner, const probe_report& report)
{
    outbox_.on_report(now, runner, report);
}

void group_planner::on_new_incarnation(const runner_id& runner)
{
    plan_.clear_loaded(runner);
}

std::vector<planner_step> group_planner::tick(instant now)
{
    if (configuration_ == nullptr) {
        return {};
    }
    // Groups in the log mean that the fleet has served before this term.
    loads_.set_unmetered(!reports_.has_traffic() && !took_over_groups_);
    if (is_settled(now)) {
        recovery_.adopt_reported_groups(now, *configuration_);
    }
    lifecycle_.advance_all(now);
    measure_work(now);
    if (is_settled(now) && is_fleet_announced(now)) {
        form_groups(now);
    }
    return outbox_.take();
}

bool group_planner::is_fleet_announced(instant now) const
{
    // The models that fabric domains prefer depend on all runners, so groups formed before all have
    // announced themselves may use runners that suit another model.
    const auto latest = registry_.latest_arrival();
    return reports_.has_traffic() || !latest || now - *latest >= start_quiet_time;
}

void group_planner::form_groups(instant now)
{
    staging_.remove_finished(now, registry_);
    auto in = take_snapshot(now);
    if (conversions_.remove_finished(now, in)) {
        in = take_snapshot(now); // the removed conversions invalidated its pointers
    }
    if (in.has_traffic && convert_groups(now, in)) {
        in = take_snapshot(now);
    }
    while (const auto proposed = group_placement::propose(now, in, loads_)) {
        if (!begin_group(now, *proposed)) {
            break; // its members would be proposed again and again
        }
        conversions_.on_formed(proposed->model->name, proposed->members);
        in = take_snapshot(now);
    }
    for (const auto& order : staging_.plan(now, in, loads_)) {
        outbox_.stage(now, order.runner, order.model);
    }
}

bool group_planner::convert_groups(instant now, const placement_snapshot& in)
{
    const auto next = conversions_.begin_next(now, in, plan_);
    if (!next) {
        return false;
    }
    std::vector<group_id> names;
    for (const auto* group : next->retired) {
        names.push_back(group->name);
    }
    for (const auto& name : names) {
        lifecycle_.retire(now, name, "makes room for " + next->to->name.str());
    }
    return true;
}

bool group_planner::begin_group(instant now, const proposed_group& proposed)
{
    planned_group group;
    group.assignment = epochs_.next();
    group.members = proposed.members;
    group.name = make_group_name(group.head(), group.assignment);
    group.service = proposed.service->name;
    group.model = proposed.model->name;
    group.loads = proposed.loads;
    loads_.begin(now, proposed.loads);
    return lifecycle_.begin(now, std::move(group));
}

// --- input of placement -------------------------------------------------------------------------

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
           !plan_.is_set_aside(now, runner) && !lifecycle_.must_be_fenced_again(runner) &&
           !detector_.is_silent(now, record) && !state_.is_leaving(runner);
}

bool group_planner::is_settled_runner(const runner_record& record) const
{
    const auto* group = plan_.group_of(record.latest.id);
    return !record.assumed && (group == nullptr || group->phase == plan_phase::serving);
}

placement_snapshot group_planner::take_snapshot(instant now) const
{
    placement_snapshot out;
    out.configuration = configuration_;
    count_groups(out);
    out.expected = conversions_.count_expected();
    out.joins_loading = plan_.count_loads();
    out.has_traffic = reports_.has_traffic();
    add_runners(now, out);
    out.work = work_.all();
    return out;
}

void group_planner::count_groups(placement_snapshot& out) const
{
    out.groups = plan_.count_active();
    out.groups_by_domain.clear();
    out.groups_by_failure_domain.clear();
    for (const auto& [name, group] : plan_.groups()) {
        const auto* head = registry_.find(group.head());
        if (group.phase <= plan_phase::serving && head != nullptr) {
            ++out.groups_by_domain[{head->latest.fabric_domain, group.model}];
            ++out.groups_by_failure_domain[{head->latest.failure_domain, group.model}];
        }
    }
}

void group_planner::add_runners(instant now, placement_snapshot& out) const
{
    for (const auto& [runner, record] : registry_.records()) {
        const auto* service = configuration_->find_service(record.latest.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        out.runners.push_back({&record.latest, is_usable(record), is_free(now, record),
                               staging_.is_under_way(runner), plan_.last_model_of(runner),
                               is_settled_runner(record), conversions_.reserved_for(runner)});
    }
    for (const auto& runner : out.runners) {
        if (runner.free) {
            out.free[runner.latest->fabric_domain].push_back(&runner);
        }
    }
}

void group_planner::measure_work(instant now)
{
    for (const auto& service : configuration_->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            work_.record(now, {service.name, model.name}, count_requests(now, model));
        }
    }
}

double group_planner::count_requests(instant now, const engine_model& model) const
{
    auto out = reports_.rejection_rate(now, model.name);
    for (const auto& [name, group] : plan_.groups()) {
        const bool takes_part =
            group.phase == plan_phase::serving || group.phase == plan_phase::retiring;
        if (group.model == model.name && takes_part) {
            out += reports_.health_of(now, group.head()).in_flight;
        }
    }
    return out;
}

// --- summary for the log ------------------------------------------------------------------------

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
            const auto planned = in.count_groups(model.name);
            const auto expected = in.count_with_expected(model.name);
            out += fmt::format("{}: {} serving of {} planned, {} more by conversion, "
                               "utilization {:.2f}; ",
                               model.name.str(), count_serving(model.name), planned,
                               expected - planned, utilization_with(in, service, model, expected));
        }
    }
    return out;
}

std::size_t group_planner::count_serving(const model_id& model) const
{
    return static_cast<std::size_t>(
        std::count_if(groups().begin(), groups().end(), [&](const auto& each) {
            return each.second.model == model && each.second.phase == plan_phase::serving;
        }));
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
            const auto ready = staging_.count_ready(runners, model);
            out += fmt::format(", {} ready and {} soon for {}", ready.now, ready.soon,
                               model.name.str());
        }
        out += "; ";
    }
    return out + fmt::format("{} joins loading, {} staging, {} conversions, {} free, "
                             "{} of them withheld",
                             in.joins_loading, staging_.count(), conversions_.count(), free,
                             group_placement::count_withheld(in));
}

} // namespace cedarpoint

#include "cedarpoint/groups/group_controller.h"

#include <algorithm>

namespace cedarpoint {

struct group_controller::context {
    instant now;
    const configuration& config;
    const group_table& groups;
    const runner_watch& watch;
    const drain_marks& drains;
};

namespace {

/// Returns true if the runner's latest report has this phase and this epoch.
bool reports(const runner_watch& watch, const runner_id& runner, epoch assignment,
             runner_phase phase)
{
    const auto report = watch.report_of(runner);
    return report && report->assignment == assignment && report->phase == phase;
}

group_record make_record(const pool_spec& pool, const group_id& id)
{
    group_record out;
    out.id = id;
    out.pool = pool.id;
    out.model = pool.model;
    out.version = pool.version;
    out.adapters = pool.adapters;
    out.role = pool.role;
    return out;
}

group_proposal propose_state(const group_record& it, group_state to, std::string why)
{
    return {it, to, {}, std::move(why)};
}

} // namespace

group_controller::group_controller(control_options options,
                                   std::unique_ptr<placement_strategy> placement)
    : options_{std::move(options)}, placement_{std::move(placement)}
{
}

void group_controller::reset()
{
    entered_.clear();
    ordered_.clear();
}

control_step group_controller::step(instant now, const configuration& config,
                                    const group_table& groups, const runner_watch& watch,
                                    const drain_marks& drains)
{
    const context in{now, config, groups, watch, drains};
    control_step out;
    for (const auto& [id, it] : groups.records()) {
        step_group(in, it, out);
    }
    std::erase_if(entered_, [&](const auto& it) { return groups.find(it.first) == nullptr; });
    place_missing(in, out);
    return out;
}

instant group_controller::since(instant now, const group_record& it)
{
    auto& entry = entered_[it.id];
    if (entry.assignment != it.assignment || entry.state != it.state) {
        entry = {it.assignment, it.state, now};
    }
    return entry.since;
}

void group_controller::step_group(const context& in, const group_record& it, control_step& out)
{
    using handler = void (group_controller::*)(const context&, const group_record&, control_step&);
    struct row {
        group_state state;
        handler function;
    };
    static constexpr row table[] = {
        {group_state::loading, &group_controller::step_loading},
        {group_state::serving, &group_controller::step_serving},
        {group_state::draining, &group_controller::step_draining},
        {group_state::stopped, &group_controller::step_ended},
        {group_state::lost, &group_controller::step_ended},
    };
    (void)since(in.now, it); // starts the timer if the state is new
    for (const auto& [state, function] : table) {
        if (state == it.state) {
            (this->*function)(in, it, out);
        }
    }
}

std::string group_controller::loss_reason(const context& in, const group_record& it) const
{
    for (const auto& node : it.nodes) {
        const auto* runner = in.config.find_runner_on(node);
        if (runner == nullptr) {
            return "node " + node.str() + " no longer has a runner";
        }
        if (!in.watch.is_present(in.now, runner->id)) {
            return "node " + node.str() + " is absent";
        }
        if (it.state != group_state::loading &&
            !reports(in.watch, runner->id, it.assignment, runner_phase::ready)) {
            return "runner " + runner->id.str() + " is not ready at the group's epoch";
        }
    }
    return {};
}

std::string group_controller::removal_reason(const context& in, const group_record& it) const
{
    const auto* pool = in.config.find_pool(it.pool);
    if (pool == nullptr) {
        return "no longer declared";
    }
    const bool same = pool->model == it.model && pool->version == it.version &&
                      pool->adapters == it.adapters && pool->role == it.role &&
                      static_cast<std::size_t>(pool->size) == it.nodes.size();
    if (!same) {
        return "its declaration has changed";
    }
    bool counted = false;
    for (int n = 0; n < pool->count && !counted; ++n) {
        counted = group_of(pool->id, n) == it.id;
    }
    if (!counted) {
        return "its pool now declares fewer groups";
    }
    if (in.drains.groups.contains(it.id)) {
        return "an operator drains the group";
    }
    for (const auto& node : it.nodes) {
        const auto* runner = in.config.find_runner_on(node);
        const auto report = runner == nullptr ? std::nullopt : in.watch.report_of(runner->id);
        if (in.drains.nodes.contains(node) ||
            (runner != nullptr && in.drains.runners.contains(runner->id))) {
            return "an operator drains node " + node.str();
        }
        if (report && report->leaving) {
            return "node " + node.str() + " is leaving";
        }
    }
    return {};
}

void group_controller::step_loading(const context& in, const group_record& it, control_step& out)
{
    if (auto why = loss_reason(in, it); !why.empty()) {
        out.proposals.push_back(propose_state(it, group_state::lost, std::move(why)));
        return;
    }
    if (auto why = removal_reason(in, it); !why.empty()) {
        out.proposals.push_back(propose_state(it, group_state::stopped, std::move(why)));
        return;
    }
    const bool ready = std::all_of(it.nodes.begin(), it.nodes.end(), [&](const node_id& node) {
        return reports(in.watch, in.config.find_runner_on(node)->id, it.assignment,
                       runner_phase::ready);
    });
    if (ready) {
        out.proposals.push_back(propose_state(it, group_state::serving, "all nodes are ready"));
        return;
    }
    order_members(in, it, true, out);
}

void group_controller::step_serving(const context& in, const group_record& it, control_step& out)
{
    if (auto why = loss_reason(in, it); !why.empty()) {
        out.proposals.push_back(propose_state(it, group_state::lost, std::move(why)));
        return;
    }
    if (auto why = removal_reason(in, it); !why.empty()) {
        out.proposals.push_back(propose_state(it, group_state::draining, std::move(why)));
    }
}

void group_controller::step_draining(const context& in, const group_record& it, control_step& out)
{
    if (auto why = loss_reason(in, it); !why.empty()) {
        out.proposals.push_back(propose_state(it, group_state::lost, std::move(why)));
        return;
    }
    // A daemon may send to the group until its grant expires. A report sent after that counts all
    // requests. `report_lag` covers the transit time of the report.
    const auto entered = since(in.now, it);
    const auto elapsed = in.now - entered;
    const auto settled = entered + options_.grant_ttl + options_.drift + options_.report_lag;
    const auto& first = in.config.find_runner_on(it.nodes.front())->id;
    const auto report = in.watch.report_of(first);
    const auto received_at = in.watch.report_time(first);
    const bool empty = report && report->in_flight == 0 && received_at && *received_at >= settled;
    if (empty || elapsed >= options_.drain_bound) {
        out.proposals.push_back(propose_state(
            it, group_state::stopped, empty ? "drained" : "not drained within the drain bound"));
    }
}

void group_controller::step_ended(const context& in, const group_record& it, control_step& out)
{
    order_members(in, it, false, out);
    const auto elapsed = in.now - since(in.now, it);
    const auto old_grants = options_.grant_ttl + options_.drift;
    for (const auto& node : it.nodes) {
        const auto* runner = in.config.find_runner_on(node);
        if (runner == nullptr) {
            continue;
        }
        const bool idle = reports(in.watch, runner->id, it.assignment, runner_phase::idle);
        // A runner that checks epochs refuses requests under an old grant. Any other must be idle
        // after the last grant expired, or wait until `in_flight_bound` has passed too.
        const bool safe = runner->checks_epoch || (idle && elapsed >= old_grants) ||
                          elapsed >= old_grants + options_.in_flight_bound;
        if (!safe) {
            return;
        }
    }
    out.proposals.push_back(propose_state(it, group_state::released, "its nodes are free"));
}

void group_controller::order_members(const context& in, const group_record& it, bool load,
                                     control_step& out)
{
    for (std::size_t n = 0; n < it.nodes.size(); ++n) {
        const auto* runner = in.config.find_runner_on(it.nodes[n]);
        const auto wanted = load ? runner_phase::ready : runner_phase::idle;
        const bool done =
            runner == nullptr || reports(in.watch, runner->id, it.assignment, wanted) ||
            (load && reports(in.watch, runner->id, it.assignment, runner_phase::loading));
        if (done) {
            continue;
        }
        auto& last = ordered_[runner->id];
        if (last != instant{} && in.now - last < options_.order_interval) {
            continue;
        }
        last = in.now;
        out.orders.push_back({runner->id, runner->address, it.assignment, load, it.id,
                              static_cast<int>(n), static_cast<int>(it.nodes.size()), it.model,
                              it.version, it.adapters, it.role});
    }
}

std::vector<placement_need> group_controller::find_missing(const context& in) const
{
    std::vector<placement_need> out;
    for (const auto& pool : in.config.pools) {
        for (int n = 0; n < pool.count && pool.failure_domain == options_.domain; ++n) {
            const auto id = group_of(pool.id, n);
            if (in.groups.find(id) == nullptr && !in.drains.groups.contains(id)) {
                out.push_back({&pool, id});
            }
        }
    }
    return out;
}

free_nodes group_controller::find_free_nodes(const context& in)
{
    free_nodes out;
    for (const auto& node : in.config.nodes) {
        const auto* runner = in.config.find_runner_on(node.id);
        const auto report = runner == nullptr ? std::nullopt : in.watch.report_of(runner->id);
        const bool usable = runner != nullptr && in.watch.is_present(in.now, runner->id) &&
                            !report->leaving && !in.drains.nodes.contains(node.id) &&
                            !in.drains.runners.contains(runner->id) &&
                            in.groups.find_by_node(node.id) == nullptr;
        if (usable) {
            out[node.fabric_domain].push_back(node.id);
        }
    }
    return out;
}

void group_controller::place_missing(const context& in, control_step& out) const
{
    const auto& records = in.groups.records();
    auto loading = std::count_if(records.begin(), records.end(), [](const auto& each) {
        return each.second.state == group_state::loading;
    });
    const auto needs = find_missing(in);
    if (needs.empty() || loading >= options_.loads_at_once) {
        return;
    }
    const placement_view view{in.config, in.groups, find_free_nodes(in), needs};
    for (auto& choice : placement_->place(view)) {
        if (loading++ >= options_.loads_at_once) {
            return;
        }
        const auto need = std::find_if(needs.begin(), needs.end(), [&](const placement_need& e) {
            return e.group == choice.group;
        });
        auto record = make_record(*need->pool, choice.group);
        record.nodes = std::move(choice.nodes);
        out.proposals.push_back(
            {std::move(record), group_state::loading, in.watch.highest_epoch(), "nodes are free"});
    }
}

} // namespace cedarpoint

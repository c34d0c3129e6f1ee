#include "cedarpoint/fleet/leader_recovery.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace cedarpoint {
namespace {

/// Returns the groups in the log, lowest epoch first. A member that has left a group may be in a
/// later one while the earlier one is still in the log, because its head could not be reached.
std::vector<const formed_group*> groups_by_epoch(const fleet_state& state)
{
    std::vector<const formed_group*> out;
    for (const auto& [name, group] : state.groups()) {
        out.push_back(&group);
    }
    std::sort(out.begin(), out.end(),
              [](const auto* a, const auto* b) { return a->assignment < b->assignment; });
    return out;
}

/// Returns the latest membership of each runner that is in a group in the log.
std::map<runner_id, group_membership> memberships_in_log(const fleet_state& state)
{
    std::map<runner_id, group_membership> out;
    for (const auto* group : groups_by_epoch(state)) {
        for (std::size_t rank = 0; rank < group->members.size(); ++rank) {
            const auto phase = rank == 0 ? member_phase::open : member_phase::ready;
            out[group->members[rank]] = {group->name, group->assignment, rank, phase};
        }
    }
    return out;
}

} // namespace

std::vector<announcement> runners_in_log(const fleet_state& state)
{
    const auto memberships = memberships_in_log(state);
    std::vector<announcement> out;
    for (const auto& [runner, registered] : state.registrations()) {
        if (state.is_gone(runner)) {
            continue;
        }
        announcement next;
        next.id = runner;
        next.born = registered.born;
        next.service = registered.service;
        next.address = registered.address;
        next.failure_domain = registered.failure_domain;
        next.fabric_domain = registered.fabric_domain;
        next.slots = registered.slots;
        if (const auto found = memberships.find(runner); found != memberships.end()) {
            next.membership = found->second;
        }
        out.push_back(std::move(next));
    }
    return out;
}

leader_recovery::leader_recovery(group_plan& plan, group_lifecycle& lifecycle,
                                 const runner_registry& registry, const fleet_state& state)
    : plan_{plan}, lifecycle_{lifecycle}, registry_{registry}, state_{state}
{
}

void leader_recovery::inherit_logged_groups(instant now)
{
    for (const auto& [runner, registered] : state_.registrations()) {
        if (!registered.loaded_model.empty()) {
            plan_.note_loaded(runner, registered.loaded_model);
        }
    }
    for (const auto* formed : groups_by_epoch(state_)) {
        planned_group group;
        group.name = formed->name;
        group.assignment = formed->assignment;
        group.service = formed->service;
        group.model = formed->model;
        group.members = formed->members;
        group.assume_repeated_joins();
        auto& kept = plan_.add(std::move(group));
        lifecycle_.enter(now, kept, plan_phase::serving, "inherited");
    }
}

bool leader_recovery::is_unknown_group(const runner_record& record) const
{
    const auto& membership = record.latest.membership;
    if (!membership || !registry_.is_present(record) ||
        plan_.groups().contains(membership->group)) {
        return false;
    }
    if (plan_.is_freed(record.latest)) {
        return false;
    }
    // The report of an open head overrides the plan; for any other member the plan takes
    // precedence.
    const bool may_be_open = membership->rank == 0 && (membership->phase == member_phase::open ||
                                                       membership->phase == member_phase::closing);
    return may_be_open || !plan_.is_bound(record.latest.id);
}

void leader_recovery::adopt_reported_groups(instant now, const fleet_configuration& configuration)
{
    using group_key = std::pair<group_id, epoch>;
    std::map<group_key, std::map<std::size_t, runner_id>> found;
    for (const auto& [runner, record] : registry_.records()) {
        if (is_unknown_group(record)) {
            const auto& membership = *record.latest.membership;
            found[{membership.group, membership.assignment}].emplace(membership.rank, runner);
        }
    }
    for (const auto& [key, by_rank] : found) {
        const auto& any = registry_.find(by_rank.begin()->second)->latest;
        planned_group group;
        group.name = key.first;
        group.assignment = key.second;
        group.service = any.service;
        group.model = any.models.empty() ? model_id{} : any.models.front();
        const auto* model = configuration.find_model(group.service, group.model);
        const bool whole = model != nullptr && by_rank.size() == model->group_size;
        if (by_rank.begin()->first != 0) {
            // No heartbeat of the head has arrived yet.
            group.members.push_back(head_of(group.name));
        }
        for (const auto& [rank, runner] : by_rank) {
            group.members.push_back(runner);
        }
        group.assume_repeated_joins();
        const bool serves = whole && is_head_open(group);
        auto& kept = plan_.add_without_rebinding(std::move(group));
        lifecycle_.enter(now, kept, serves ? plan_phase::serving : plan_phase::releasing,
                         "reported by its runners");
    }
}

bool leader_recovery::is_head_open(const planned_group& group) const
{
    const auto* record = registry_.find(group.head());
    return record != nullptr && record->latest.membership &&
           record->latest.membership->group == group.name &&
           record->latest.membership->phase == member_phase::open;
}

} // namespace cedarpoint

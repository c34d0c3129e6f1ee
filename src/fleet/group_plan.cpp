#include "cedarpoint/fleet/group_plan.h"

#include <limits>

namespace cedarpoint {

void group_plan::clear()
{
    groups_.clear();
    bound_.clear();
    freed_.clear();
    set_aside_.clear();
}

planned_group& group_plan::add(planned_group group)
{
    for (const auto& member : group.members) {
        bound_[member] = group.name;
        last_models_[member] = group.model;
    }
    const auto name = group.name;
    return groups_[name] = std::move(group);
}

planned_group& group_plan::add_without_rebinding(planned_group group)
{
    for (const auto& member : group.members) {
        bound_.try_emplace(member, group.name);
    }
    const auto name = group.name;
    return groups_[name] = std::move(group);
}

const planned_group* group_plan::group_of(const runner_id& runner) const
{
    const auto bound = bound_.find(runner);
    if (bound == bound_.end()) {
        return nullptr;
    }
    const auto found = groups_.find(bound->second);
    return found == groups_.end() ? nullptr : &found->second;
}

bool group_plan::belongs_to(const runner_id& runner, const planned_group& group) const
{
    const auto found = bound_.find(runner);
    return found != bound_.end() && found->second == group.name;
}

void group_plan::free(const planned_group& group, const runner_id& member, heartbeat_number latest)
{
    unbind(group, member);
    freed_[{group.name, member}] = latest;
}

void group_plan::free_unopened(const planned_group& group, const runner_id& member,
                               incarnation its_incarnation)
{
    free(group, member, {its_incarnation, std::numeric_limits<std::uint64_t>::max()});
}

void group_plan::unbind(const planned_group& group, const runner_id& member)
{
    if (belongs_to(member, group)) {
        bound_.erase(member);
    }
}

void group_plan::erase_ended()
{
    for (const auto& name : ended_) {
        groups_.erase(name);
    }
    ended_.clear();
}

planned_group* group_plan::find(const group_id& name)
{
    const auto found = groups_.find(name);
    return found == groups_.end() ? nullptr : &found->second;
}

bool group_plan::is_freed(const announcement& runner) const
{
    if (!runner.membership) {
        return false;
    }
    const auto found = freed_.find({runner.membership->group, runner.id});
    return found != freed_.end() && runner.number() <= found->second;
}

bool group_plan::is_set_aside(instant now, const runner_id& runner) const
{
    const auto found = set_aside_.find(runner);
    return found != set_aside_.end() && now < found->second;
}

const model_id* group_plan::last_model_of(const runner_id& runner) const
{
    const auto found = last_models_.find(runner);
    return found == last_models_.end() ? nullptr : &found->second;
}

std::map<model_id, std::size_t> group_plan::count_active() const
{
    std::map<model_id, std::size_t> out;
    for (const auto& [name, group] : groups_) {
        if (group.phase <= plan_phase::serving) {
            ++out[group.model];
        }
    }
    return out;
}

std::size_t group_plan::count_loads() const
{
    std::size_t out = 0;
    for (const auto& [name, group] : groups_) {
        out += group.phase == plan_phase::joining ? group.loads : 0;
    }
    return out;
}

} // namespace cedarpoint

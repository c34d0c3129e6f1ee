// The queries of `planner_world`; none of them changes its state.

#include "fleet/planner_world.h"

#include <algorithm>
#include <set>

namespace cedarpoint::testing_support {

group_id planner_world::group_of(const runner_id& runner) const
{
    const auto& membership = runners_.at(runner).announced.membership;
    return membership ? membership->group : group_id{};
}

std::vector<runner_id> planner_world::alive_runners() const
{
    std::vector<runner_id> out;
    for (const auto& [id, runner] : runners_) {
        if (runner.alive) {
            out.push_back(id);
        }
    }
    return out;
}

bool planner_world::is_in_log(const group_id& group) const
{
    return state_.groups().contains(group);
}

std::size_t planner_world::serving_groups(const std::string& model) const
{
    std::size_t out = 0;
    for (const auto& [id, runner] : runners_) {
        const auto& membership = runner.announced.membership;
        const bool open = runner.alive && membership && membership->phase == member_phase::open &&
                          runner.announced.models == std::vector{model_id{model}};
        out += open && makes_progress(runner) ? 1 : 0;
    }
    return out;
}

std::vector<runner_id> planner_world::members_of_some_group(const std::string& model) const
{
    for (const auto& [id, runner] : runners_) {
        const auto& membership = runner.announced.membership;
        if (runner.alive && membership && membership->phase == member_phase::open &&
            runner.announced.models == std::vector{model_id{model}}) {
            return member_lists_.at(
                member_list_key(membership->group, membership->assignment.value));
        }
    }
    return {};
}

std::size_t planner_world::mixed_domains() const
{
    std::map<fabric_domain_id, std::set<model_id>> loaded;
    for (const auto& [id, runner] : runners_) {
        if (!runner.loaded.empty()) {
            loaded[runner.announced.fabric_domain].insert(runner.loaded);
        }
    }
    return static_cast<std::size_t>(std::count_if(
        loaded.begin(), loaded.end(), [](const auto& each) { return each.second.size() > 1; }));
}

std::size_t planner_world::spread_groups() const
{
    std::size_t out = 0;
    for (const auto& [key, members] : member_lists_) {
        std::map<fabric_domain_id, int> domains;
        for (const auto& member : members) {
            ++domains[runners_.at(member).announced.fabric_domain];
        }
        out += domains.size() > 1 ? 1 : 0;
    }
    return out;
}

} // namespace cedarpoint::testing_support

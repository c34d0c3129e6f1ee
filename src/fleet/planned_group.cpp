#include "cedarpoint/fleet/planned_group.h"

#include <array>
#include <iterator>
#include <string>

namespace cedarpoint {

std::string_view name_of(plan_phase phase)
{
    constexpr std::array<std::string_view, plan_phases.size()> names{
        "joining", "opening", "serving", "retiring", "releasing", "waiting", "disbanding"};
    return names.at(static_cast<std::size_t>(phase));
}

epoch planned_group::epoch_of(const runner_id& member) const
{
    const auto found = fenced.find(member);
    return found == fenced.end() ? assignment : found->second.assignment;
}

void planned_group::assume_repeated_joins()
{
    may_rejoin.insert(std::next(members.begin()), members.end());
}

group_id make_group_name(const runner_id& head, epoch assignment)
{
    return group_id{head.str() + "." + std::to_string(assignment.value)};
}

runner_id head_of(const group_id& name)
{
    return runner_id{name.str().substr(0, name.str().rfind('.'))};
}

} // namespace cedarpoint

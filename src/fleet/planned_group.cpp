#include "cedarpoint/fleet/planned_group.h"

#include <array>
#include <string>

namespace cedarpoint {

std::string_view name_of(plan_phase phase)
{
    constexpr std::array<std::string_view, plan_phases.size()> names{
        "joining", "opening", "serving", "retiring", "releasing", "waiting", "disbanding"};
    return names.at(static_cast<std::size_t>(phase));
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

#include "cedarpoint/groups/group.h"

namespace cedarpoint {

std::string_view name_of(group_state it)
{
    switch (it) {
    case group_state::loading:
        return "loading";
    case group_state::serving:
        return "serving";
    case group_state::draining:
        return "draining";
    case group_state::stopped:
        return "stopped";
    case group_state::lost:
        return "lost";
    case group_state::released:
        return "released";
    }
    return "?";
}

std::optional<group_state> parse_group_state(std::uint32_t value)
{
    if (value < static_cast<std::uint32_t>(group_state::loading) ||
        value > static_cast<std::uint32_t>(group_state::released)) {
        return {};
    }
    return static_cast<group_state>(value);
}

bool is_legal_step(group_state from, group_state to)
{
    switch (to) {
    case group_state::loading:
        return false; // only a new assignment enters this state
    case group_state::serving:
        return from == group_state::loading;
    case group_state::draining:
        return from == group_state::serving;
    case group_state::stopped:
        return from == group_state::draining || from == group_state::loading;
    case group_state::lost:
        return from == group_state::loading || from == group_state::serving ||
               from == group_state::draining;
    case group_state::released:
        return from == group_state::stopped || from == group_state::lost;
    }
    return false;
}

group_id group_of(const pool_id& pool, int n)
{
    return group_id{pool.str() + "/" + std::to_string(n)};
}

} // namespace cedarpoint

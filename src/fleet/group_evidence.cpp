#include "cedarpoint/fleet/group_evidence.h"

#include <algorithm>
#include <iterator>

namespace cedarpoint {

group_evidence::group_evidence(const group_plan& plan, const failure_detector& detector,
                               const runner_registry& registry)
    : plan_{plan}, detector_{detector}, registry_{registry}
{
}

const runner_id* group_evidence::find_lost(instant now, const planned_group& group) const
{
    const auto found =
        std::find_if(group.members.begin(), group.members.end(), [&](const runner_id& member) {
            return detector_.state_of(now, group, member) == member_state::lost;
        });
    return found == group.members.end() ? nullptr : &*found;
}

std::string group_evidence::describe_loss(instant now, const planned_group& group,
                                          const runner_id& member) const
{
    const auto* role = member == group.head() ? "head " : "member ";
    return role + member.str() + " is lost: " + detector_.describe_loss(now, member);
}

bool group_evidence::is_replaced(const runner_id& runner) const
{
    const auto* record = registry_.find(runner);
    return record == nullptr || !registry_.is_present(*record);
}

bool group_evidence::has_head_left(instant now, const planned_group& group) const
{
    const auto& head = group.head();
    const bool belongs =
        plan_.belongs_to(head, group) || detector_.state_of(now, group, head) != member_state::lost;
    return !belongs || is_replaced(head);
}

bool group_evidence::has_head_reported(const planned_group& group) const
{
    const auto* record = registry_.find(group.head());
    return record != nullptr && record->last_contact > group.since;
}

bool group_evidence::is_other_member_present(instant now, const planned_group& group) const
{
    const auto first = std::next(group.members.begin());
    return std::any_of(first, group.members.end(), [&](const runner_id& member) {
        const auto state = detector_.state_of(now, group, member);
        return state == member_state::present || state == member_state::draining;
    });
}

bool group_evidence::is_in_other_group(const planned_group& group, const runner_id& member) const
{
    const auto* reported = reported_group(member);
    return reported != nullptr && *reported != group.name;
}

bool group_evidence::has_rejoined(const planned_group& group, const runner_id& member) const
{
    const auto* reported = reported_group(member);
    return reported != nullptr && *reported == group.name && !plan_.is_bound(member);
}

const group_id* group_evidence::reported_group(const runner_id& runner) const
{
    const auto* record = registry_.find(runner);
    const bool counts =
        record != nullptr && record->latest.membership && !plan_.is_freed(record->latest);
    return counts ? &record->latest.membership->group : nullptr;
}

} // namespace cedarpoint

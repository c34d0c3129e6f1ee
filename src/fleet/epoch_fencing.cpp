#include "cedarpoint/fleet/epoch_fencing.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// The wait for an answer doubles with each order up to this factor, so that a runner whose answers
/// are slower than `order_retry` can join.
constexpr int max_wait_factor = 4;

} // namespace

epoch_fencing::epoch_fencing(planner_options options, epoch_source& epochs, planner_outbox& outbox,
                             const failure_detector& detector, const runner_registry& registry)
    : options_{options}, epochs_{epochs}, outbox_{outbox}, detector_{detector}, registry_{registry}
{
}

bool epoch_fencing::order_head(instant now, planned_group& group)
{
    const auto& head = group.head();
    if (has_joined(group, head)) {
        return true;
    }
    auto& join = group.head_join;
    if (join.orders > 0 && !is_due(now, join)) {
        return join.taken;
    }
    if (!outbox_.prepare_join(now, group, head)) {
        return false;
    }
    if (join.orders > 0) {
        group.assignment = epochs_.next();
        group.ordered.clear();
        group.may_rejoin.clear();
    }
    join.assignment = group.assignment;
    send(now, group, head, join);
    return false;
}

void epoch_fencing::order_member(instant now, planned_group& group, const runner_id& member)
{
    if (outbox_.prepare_join(now, group, member) &&
        outbox_.order(now, group, order_kind::join, member) &&
        !group.ordered.insert(member).second) {
        group.may_rejoin.insert(member);
    }
}

bool epoch_fencing::needs_fence(const planned_group& group, const runner_id& member) const
{
    const auto* record = registry_.find(member);
    if (group.head_left || !group.may_rejoin.contains(member) || record == nullptr ||
        record->latest.draining) {
        return false;
    }
    const auto found = group.fenced.find(member);
    if (found == group.fenced.end() || found->second.to != record->latest.born) {
        return true;
    }
    const auto& membership = record->latest.membership;
    const bool reported = membership && membership->group == group.name &&
                          membership->assignment == found->second.assignment;
    return !found->second.taken && !reported;
}

void epoch_fencing::fence(instant now, planned_group& group, const runner_id& member)
{
    auto& join = group.fenced[member];
    if (join.to != incarnation_of(member)) {
        join = {};
    }
    const bool due = join.orders == 0 || is_due(now, join);
    if (due && outbox_.prepare_join(now, group, member)) {
        join.assignment = epochs_.next();
        send(now, group, member, join);
    }
}

bool epoch_fencing::has_lost_fence(const planned_group& group, const runner_id& member) const
{
    const auto found = group.fenced.find(member);
    return found != group.fenced.end() && !group.head_left &&
           found->second.to != incarnation_of(member);
}

void epoch_fencing::on_joined(planned_group& group, const runner_id& member)
{
    if (member == group.head()) {
        group.head_join.taken = true;
    }
    else if (const auto found = group.fenced.find(member); found != group.fenced.end()) {
        found->second.taken = true;
    }
}

bool epoch_fencing::has_joined(const planned_group& group, const runner_id& head) const
{
    return detector_.is_in_phase(group, head, member_phase::joining) ||
           detector_.is_in_phase(group, head, member_phase::ready);
}

bool epoch_fencing::is_due(instant now, const single_join& join) const
{
    if (join.taken) { // the runner reports at once that it joins, unless it has restarted
        return now - join.sent >= options_.heartbeat * 3 / 2;
    }
    const auto factor = join.orders > 2 ? max_wait_factor : join.orders;
    return now - join.sent >= options_.order_retry * factor;
}

incarnation epoch_fencing::incarnation_of(const runner_id& runner) const
{
    const auto* record = registry_.find(runner);
    return record == nullptr ? incarnation{} : record->latest.born;
}

void epoch_fencing::send(instant now, planned_group& group, const runner_id& to, single_join& join)
{
    join.to = incarnation_of(to);
    join.sent = now;
    join.taken = false;
    ++join.orders;
    outbox_.order(now, group, order_kind::join, to);
}

} // namespace cedarpoint

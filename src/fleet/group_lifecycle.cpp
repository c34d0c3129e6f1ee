#include "cedarpoint/fleet/group_lifecycle.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <utility>

namespace cedarpoint {
namespace {

/// Time that entry daemons have to check whether they can connect to the head of a waiting group
/// before its members are ordered to leave, which ends the group irrevocably. A check takes up to
/// 300 ms, and its result up to 200 ms to arrive.
constexpr duration reachability_check_time = milliseconds{900};

/// A retiring group is not considered idle before this time: entry daemons learn of the retirement
/// with the next view and report every 200 ms.
constexpr duration min_retirement = milliseconds{500};

/// A group ends if a member has not joined it within this time, and the member is set aside for as
/// long, so that the others can form a group without it.
constexpr duration join_limit = seconds{10};

std::string list(const std::vector<runner_id>& members)
{
    std::string out;
    for (const auto& member : members) {
        out += (out.empty() ? "" : ",") + member.str();
    }
    return out;
}

} // namespace

group_lifecycle::group_lifecycle(planner_options options, group_plan& plan, planner_outbox& outbox,
                                 epoch_source& epochs, const failure_detector& detector,
                                 const runner_registry& registry, const health_reports& reports,
                                 const fleet_state& state)
    : options_{options}, plan_{plan}, outbox_{outbox}, detector_{detector},
      evidence_{plan, detector, registry}, fencing_{options, epochs, outbox, detector, registry},
      registry_{registry}, reports_{reports}, state_{state}
{
}

bool group_lifecycle::begin(instant now, planned_group group)
{
    auto& kept = plan_.add(std::move(group));
    enter(now, kept, plan_phase::joining, "formed");
    advance_joining(now, kept);
    return !plan_.has_ended(kept);
}

void group_lifecycle::advance_all(instant now)
{
    for (auto& [name, group] : plan_.groups()) {
        advance(now, group);
    }
    plan_.erase_ended();
}

void group_lifecycle::advance(instant now, planned_group& group)
{
    using handler = void (group_lifecycle::*)(instant, planned_group&);
    constexpr std::array<handler, plan_phases.size()> by_phase{
        &group_lifecycle::advance_joining,   &group_lifecycle::advance_opening,
        &group_lifecycle::advance_serving,   &group_lifecycle::advance_retiring,
        &group_lifecycle::advance_releasing, &group_lifecycle::advance_waiting,
        &group_lifecycle::advance_disbanding};
    (this->*by_phase.at(static_cast<std::size_t>(group.phase)))(now, group);
}

void group_lifecycle::advance_joining(instant now, planned_group& group)
{
    const bool head_joined = fencing_.order_head(now, group);
    bool all_ready = true;
    for (const auto& member : group.members) {
        const auto state = detector_.state_of(now, group, member);
        const bool unresponsive =
            state == member_state::silent && detector_.is_unresponsive(member);
        if (state == member_state::lost || state == member_state::draining || unresponsive ||
            evidence_.is_in_other_group(group, member) || must_be_fenced_again(member)) {
            end_unopened(group, "member " + member.str() + " is not available");
            return;
        }
        if (state == member_state::silent) {
            outbox_.probe(now, member);
        }
        if (detector_.is_in_phase(group, member, member_phase::ready)) {
            continue;
        }
        all_ready = false;
        if (detector_.is_in_phase(group, member, member_phase::joining)) {
            continue;
        }
        if (now - group.since > join_limit) {
            plan_.set_aside(member, now + join_limit);
            end_unopened(group, "member " + member.str() + " has not taken the order to join");
            return;
        }
        if (head_joined && member != group.head()) {
            fencing_.order_member(now, group, member);
        }
    }
    if (all_ready) {
        enter(now, group, plan_phase::opening, "all members are ready");
        outbox_.record(fleet_state::form_group(
            {group.name, group.assignment, group.service, group.model, group.members}));
    }
}

void group_lifecycle::advance_opening(instant now, planned_group& group)
{
    if (const auto* lost = evidence_.find_lost(now, group); lost != nullptr) {
        release(now, group, evidence_.describe_loss(now, group, *lost));
        return;
    }
    if (detector_.is_in_phase(group, group.head(), member_phase::open)) {
        enter(now, group, plan_phase::serving, "the head is open");
        return;
    }
    // Every later leader knows from the log that the head may be open.
    if (state_.groups().contains(group.name)) {
        outbox_.order(now, group, order_kind::open, group.head());
    }
}

void group_lifecycle::advance_serving(instant now, planned_group& group)
{
    if (detector_.is_in_phase(group, group.head(), member_phase::broken) ||
        detector_.is_in_phase(group, group.head(), member_phase::ready)) {
        release(now, group, "the head is no longer open");
        return;
    }
    const auto head = reports_.health_of(now, group.head());
    if (head.stalled || head.refused) {
        probe_all(now, group);
    }
    bool draining = false;
    for (const auto& member : group.members) {
        const auto state = detector_.state_of(now, group, member);
        if (state == member_state::lost) {
            release(now, group, evidence_.describe_loss(now, group, member));
            return;
        }
        draining = draining || state == member_state::draining;
        if (state == member_state::silent) {
            outbox_.probe(now, member);
        }
        if (detector_.has_failed(now, group, member, head)) {
            release(now, group, "member " + member.str() + " does not answer");
            return;
        }
    }
    if (draining) {
        enter(now, group, plan_phase::retiring, "a member drains");
    }
}

void group_lifecycle::advance_retiring(instant now, planned_group& group)
{
    if (const auto* lost = evidence_.find_lost(now, group); lost != nullptr) {
        release(now, group, evidence_.describe_loss(now, group, *lost));
        return;
    }
    const auto passed = now - group.since;
    const bool idle = reports_.health_of(now, group.head()).in_flight == 0;
    if (idle && passed >= min_retirement) {
        enter(now, group, plan_phase::releasing, "no requests in flight");
    }
    else if (passed >= options_.retire_limit) {
        enter(now, group, plan_phase::releasing,
              "retirement limit reached with requests in flight");
    }
}

void group_lifecycle::advance_releasing(instant now, planned_group& group)
{
    const auto& head = group.head();
    if (evidence_.has_head_left(now, group)) {
        disband(now, group, evidence_.describe_loss(now, group, head));
        return;
    }
    if (detector_.is_unresponsive(head)) {
        enter(now, group, plan_phase::waiting, "the head does not answer");
        advance_waiting(now, group);
        return;
    }
    outbox_.order(now, group, order_kind::leave, head);
    if (now - group.since > options_.order_retry) {
        outbox_.probe(now, head);
    }
}

void group_lifecycle::advance_waiting(instant now, planned_group& group)
{
    if (evidence_.has_head_left(now, group)) {
        disband(now, group, evidence_.describe_loss(now, group, group.head()));
        return;
    }
    if (evidence_.has_head_reported(group)) {
        // No member was ordered to leave, so the group may have kept serving behind a network
        // partition.
        enter(now, group, plan_phase::serving, "the head reports again");
        return;
    }
    probe_unanswered(now, group);
    if (detector_.is_head_unreachable(now, group)) {
        disband(
            now, group,
            fmt::format("no entry daemon of {} reaches the head", reports_.count_followers(now)));
    }
    else if (now - group.since >= reachability_check_time &&
             evidence_.is_other_member_present(now, group)) {
        disband(now, group, "members respond, the head does not");
    }
}

void group_lifecycle::advance_disbanding(instant now, planned_group& group)
{
    bool is_empty = true;
    for (const auto& member : group.members) {
        const bool is_unfenced = !plan_.is_bound(member) && fencing_.has_lost_fence(group, member);
        if (evidence_.has_rejoined(group, member) || is_unfenced) {
            plan_.bind(group, member);
            group.head_left = group.head_left && member != group.head();
        }
        if (!plan_.belongs_to(member, group)) {
            continue;
        }
        if (evidence_.is_replaced(member)) {
            plan_.unbind(group, member);
            continue;
        }
        is_empty = false;
        // A silent member gets the order after its next heartbeat.
        if (!detector_.is_silent(now, *registry_.find(member))) {
            order_to_leave(now, group, member);
        }
    }
    if (!plan_.belongs_to(group.head(), group)) {
        record_end(group);
    }
    if (is_empty) {
        end(group, "every member has left or is replaced");
    }
}

bool group_lifecycle::must_be_fenced_again(const runner_id& member) const
{
    return std::any_of(plan_.groups().begin(), plan_.groups().end(), [&](const auto& each) {
        return each.second.phase == plan_phase::disbanding &&
               fencing_.has_lost_fence(each.second, member);
    });
}

void group_lifecycle::order_to_leave(instant now, planned_group& group, const runner_id& member)
{
    if (fencing_.needs_fence(group, member)) {
        fencing_.fence(now, group, member);
    }
    else {
        outbox_.order(now, group, order_kind::leave, member);
    }
}

void group_lifecycle::retire(instant now, const group_id& name, const std::string& why)
{
    if (auto* group = plan_.find(name); group != nullptr && group->phase == plan_phase::serving) {
        enter(now, *group, plan_phase::retiring, why);
    }
}

void group_lifecycle::release(instant now, planned_group& group, const std::string& why)
{
    enter(now, group, plan_phase::releasing, why);
    advance_releasing(now, group);
}

void group_lifecycle::disband(instant now, planned_group& group, const std::string& why)
{
    enter(now, group, plan_phase::disbanding, why);
    advance_disbanding(now, group);
}

void group_lifecycle::probe_all(instant now, const planned_group& group)
{
    for (const auto& member : group.members) {
        outbox_.probe(now, member);
    }
}

void group_lifecycle::probe_unanswered(instant now, planned_group& group)
{
    for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
        const auto& member = group.members[rank];
        const auto* record = registry_.find(member);
        if (record == nullptr || group.answered.contains(member)) {
            continue;
        }
        if (record->answered && *record->answered > group.since) {
            group.answered.emplace(member, now);
        }
        else {
            outbox_.probe(now, member);
        }
    }
}

void group_lifecycle::end_unopened(const planned_group& group, const std::string& why)
{
    for (const auto& member : group.members) {
        const auto* record = registry_.find(member);
        plan_.free_unopened(group, member, record == nullptr ? incarnation{} : record->latest.born);
    }
    outbox_.on_ended_unopened(group.name);
    end(group, why);
}

void group_lifecycle::free(planned_group& group, const runner_id& member)
{
    group.head_left = group.head_left || member == group.head();
    const auto* record = registry_.find(member);
    plan_.free(group, member, record == nullptr ? heartbeat_number{} : record->latest.number());
}

void group_lifecycle::end(const planned_group& group, const std::string& why)
{
    plan_.end(group);
    report(group, "ended: " + why);
}

void group_lifecycle::record_end(planned_group& group)
{
    if (!group.end_recorded && state_.groups().contains(group.name)) {
        outbox_.record(fleet_state::end_group(group.name));
        group.end_recorded = true;
    }
}

void group_lifecycle::enter(instant now, planned_group& group, plan_phase phase,
                            const std::string& why)
{
    group.phase = phase;
    group.since = now;
    group.answered.clear();
    report(group, why);
}

void group_lifecycle::report(const planned_group& group, const std::string& why) const
{
    if (on_event) {
        on_event({group.name, group.phase, why, list(group.members)});
    }
}

std::vector<runner_id> group_lifecycle::suspects() const
{
    std::vector<runner_id> out;
    for (const auto& [name, group] : plan_.groups()) {
        if (group.phase == plan_phase::waiting && !group.answered.empty()) {
            out.push_back(group.head());
        }
    }
    return out;
}

void group_lifecycle::on_order_result(instant now, const group_order& order, order_result result)
{
    auto* group = plan_.find(order.group);
    if (group == nullptr || order.assignment != group->epoch_of(order.to) ||
        !outbox_.is_of_this_term(order)) {
        return;
    }
    if (order.kind == order_kind::join && result == order_result::taken) {
        epoch_fencing::on_joined(*group, order.to);
    }
    // A runner that is not in the group answers "unfit". The platform's documentation does not rule
    // out other reasons, so the answer counts only if the runner's heartbeats agree.
    const bool unfit = result == order_result::unfit &&
                       detector_.state_of(now, *group, order.to) == member_state::lost;
    const bool left = order.kind == order_kind::leave && (result == order_result::taken || unfit);
    // An order that arrives after its own repetition is refused as well, so only the latest counts.
    const bool fenced = order.kind == order_kind::join && result == order_result::fenced &&
                        outbox_.is_latest(order);
    if (left) {
        free(*group, order.to);
    }
    if (left && group->phase == plan_phase::releasing && order.to == group->head()) {
        disband(now, *group, "the head has left the group");
    }
    else if (left && group->phase == plan_phase::disbanding) {
        advance_disbanding(now, *group);
    }
    else if (fenced && group->phase == plan_phase::joining) {
        end_unopened(*group, "a member has seen a newer epoch");
    }
    plan_.erase_ended();
}

} // namespace cedarpoint

// How the runners of `planner_world` carry out orders, and the rules that are checked then.

#include "fleet/planner_world.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint::testing_support {

instant planner_world::first_request_time()
{
    return instant{seconds{1008}};
}

bool planner_world::carry_out_held(std::size_t position)
{
    if (position >= held_.size()) {
        return false;
    }
    const auto order = held_[position];
    held_.erase(held_.begin() + static_cast<std::ptrdiff_t>(position));
    return carry_out(order) == order_result::taken;
}

void planner_world::execute(const planner_step& step)
{
    if (step.kind == planner_step::kind_t::record) {
        state_.apply(step.command);
        return;
    }
    auto* runner = find(step.order.to);
    const bool reached = runner != nullptr && runner->alive && !runner->partitioned;
    if (step.kind == planner_step::kind_t::probe) {
        if (reached) {
            note_state(*runner);
            leader_->on_probe_answered(now_, step.order.to, runner->reports.front().second);
        }
        else {
            leader_->on_probe_failed(step.order.to, false);
        }
        return;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    if (!reached) {
        leader_->on_order_result(now_, step.order, order_result::unknown);
    }
    else if (is_held && is_held(step.order)) {
        held_.push_back(step.order);
        leader_->on_order_result(now_, step.order, order_result::unknown);
    }
    else if (draw(random_) < options_.late_order_fraction) {
        std::uniform_int_distribution<int> delay(2000, 12'000);
        late_orders_.push_back({now_ + milliseconds{delay(random_)}, step.order});
        leader_->on_order_result(now_, step.order, order_result::unknown);
    }
    else {
        const auto result = carry_out(step.order);
        leader_->on_order_result(now_, step.order, lose_answers ? order_result::unknown : result);
    }
}

order_result planner_world::carry_out(const group_order& order)
{
    auto* runner = find(order.to);
    if (runner == nullptr || !runner->alive) {
        return order_result::unknown;
    }
    if (options_.check_fences && order.fence < runner->highest_fence) {
        return order_result::fenced;
    }
    runner->highest_fence = std::max(runner->highest_fence, order.fence);
    if (options_.check_conditions && order.condition && order.condition->value != runner->orders) {
        return order_result::unfit;
    }
    return take(*runner, order);
}

order_result planner_world::take(fake_runner& runner, const group_order& order)
{
    if (order.kind == order_kind::stage) {
        ++runner.orders;
        runner.announced.staged = {order.model};
        return order_result::taken;
    }
    if (order.kind == order_kind::join) {
        return join(runner, order);
    }
    auto& membership = runner.announced.membership;
    const bool is_member = membership && membership->group == order.group &&
                           membership->assignment == order.assignment;
    if (!is_member) {
        return order_result::unfit;
    }
    runner.next_heartbeat = now_;
    if (order.kind == order_kind::leave) {
        ++runner.orders;
        membership.reset();
        runner.announced.models.clear();
        runner.opening = false;
        return order_result::taken;
    }
    if (membership->phase != member_phase::ready) {
        return membership->phase == member_phase::open ? order_result::taken : order_result::unfit;
    }
    check_open(runner, order);
    ++runner.orders;
    runner.opening = true;
    runner.open_at = now_ + milliseconds{300};
    return order_result::taken;
}

order_result planner_world::join(fake_runner& runner, const group_order& order)
{
    if (order.assignment.value < runner.highest_epoch) {
        return order_result::fenced;
    }
    auto& membership = runner.announced.membership;
    if (membership && membership->group == order.group &&
        membership->assignment == order.assignment) {
        return order_result::taken;
    }
    check_join(order);
    ++runner.orders;
    latest_joins_[order.to] = order;
    member_lists_[member_list_key(order.group, order.assignment.value)] = order.members;
    runner.highest_epoch = order.assignment.value;
    group_membership next;
    next.group = order.group;
    next.assignment = order.assignment;
    next.rank = static_cast<std::size_t>(
        std::find(order.members.begin(), order.members.end(), order.to) - order.members.begin());
    membership = next;
    runner.opening = false;
    runner.ready_at = now_ + load_weights(runner, order.model);
    runner.announced.models = {order.model};
    runner.next_heartbeat = now_;
    return order_result::taken;
}

duration planner_world::load_weights(fake_runner& runner, const model_id& model) const
{
    const bool loaded = runner.loaded == model;
    runner.loaded = model;
    if (loaded) {
        return milliseconds{200};
    }
    auto& staged = runner.announced.staged;
    if (std::find(staged.begin(), staged.end(), model) != staged.end()) {
        return milliseconds{1600};
    }
    staged = {model};
    const bool fast = options_.fast_weight_loads || now_ < first_request_time();
    return fast ? milliseconds{1600} : milliseconds{16'000};
}

void planner_world::check_join(const group_order& order)
{
    for (const auto& [id, head] : runners_) {
        const auto& membership = head.announced.membership;
        const bool serves = head.alive && membership && membership->rank == 0 &&
                            (membership->phase == member_phase::open || head.opening);
        if (!serves || membership->group == order.group) {
            continue;
        }
        const auto& members =
            member_lists_[member_list_key(membership->group, membership->assignment.value)];
        const auto& current = find(order.to)->announced.membership;
        const bool belongs = current && current->group == membership->group &&
                             std::find(members.begin(), members.end(), order.to) != members.end();
        if (belongs) {
            violations_.push_back(fmt::format("{} joined {} while {} is open", order.to.str(),
                                              order.group.str(), membership->group.str()));
        }
    }
}

void planner_world::check_open(const fake_runner& head, const group_order& order)
{
    const auto& members = member_lists_[member_list_key(order.group, order.assignment.value)];
    for (const auto& member : members) {
        if (!runners_.at(member).ready_epochs.contains(order.assignment.value)) {
            violations_.push_back(fmt::format("{} opened before {} was ready",
                                              head.announced.id.str(), member.str()));
        }
    }
}

} // namespace cedarpoint::testing_support

#include "cedarpoint/fleet/planner_outbox.h"

#include <utility>

namespace cedarpoint {
namespace {

/// A fence consists of the leader's term and, in this many low bits, a counter of its orders. So
/// each order has a higher fence than all earlier ones, and a runner that has accepted a later
/// order refuses a delayed earlier one. The width allows for one order per millisecond for 49 days
/// in one term, and for two million terms below 2^53, up to which a JSON number is exact.
constexpr unsigned fence_shift = 32;

/// Returns the epoch under which the runner is in the group. A late order to join may have put it
/// back under an earlier one, and an order to leave under any other epoch has no effect.
epoch epoch_to_leave(const runner_registry& registry, const planned_group& group,
                     const runner_id& runner)
{
    const auto* record = registry.find(runner);
    const auto membership = record == nullptr ? std::nullopt : record->latest.membership;
    return membership && membership->group == group.name ? membership->assignment
                                                         : group.epoch_of(runner);
}

/// Returns true if `key` was recorded less than `interval` ago; otherwise records it with `now`.
template <class Key>
bool is_too_soon(std::map<Key, instant>& noted, const Key& key, instant now, duration interval)
{
    const auto [found, added] = noted.try_emplace(key, now);
    if (!added && now - found->second < interval) {
        return true;
    }
    found->second = now;
    return false;
}

} // namespace

planner_outbox::planner_outbox(planner_options options, const runner_registry& registry)
    : options_{options}, registry_{registry}, conditions_{registry}
{
}

void planner_outbox::begin_term(std::uint64_t term, bool follows_leader)
{
    conditions_.begin_term(follows_leader);
    latest_fence_ = term << fence_shift;
    fences_.clear();
    ordered_at_.clear();
    probed_at_.clear();
}

bool planner_outbox::prepare_join(instant now, const planned_group& group, const runner_id& to)
{
    if (!conditions_.needs_condition(to) || conditions_.condition_for(group, to)) {
        return true;
    }
    if (conditions_.is_report_due(now, to)) {
        probe(now, to);
    }
    return false;
}

bool planner_outbox::order(instant now, const planned_group& group, order_kind kind,
                           const runner_id& to)
{
    const auto assignment =
        kind == order_kind::leave ? epoch_to_leave(registry_, group, to) : group.epoch_of(to);
    if (is_too_soon(ordered_at_, {to, group.name, assignment, kind}, now, options_.order_retry)) {
        return false;
    }
    group_order next;
    next.kind = kind;
    next.to = to;
    next.group = group.name;
    next.assignment = assignment;
    if (kind == order_kind::join) {
        next.model = group.model;
        next.members = group.members;
        if (conditions_.needs_condition(to)) {
            next.condition = conditions_.condition_for(group, to);
        }
    }
    add_order(now, std::move(next));
    return true;
}

void planner_outbox::stage(instant now, const runner_id& to, const model_id& model)
{
    group_order next;
    next.kind = order_kind::stage;
    next.to = to;
    next.model = model;
    add_order(now, std::move(next));
}

void planner_outbox::add_order(instant now, group_order order)
{
    conditions_.on_ordered(now, order);
    if (const auto* record = registry_.find(order.to); record != nullptr) {
        order.address = record->latest.address;
    }
    order.fence = ++latest_fence_;
    fences_[order.to] = order.fence;
    planner_step step;
    step.order = std::move(order);
    steps_.push_back(std::move(step));
}

void planner_outbox::on_order_result(instant now, const group_order& order, order_result result)
{
    if (is_of_this_term(order)) {
        conditions_.on_order_result(now, order, result);
    }
}

void planner_outbox::on_report(instant now, const runner_id& runner, const probe_report& report)
{
    conditions_.on_report(now, runner, report);
}

bool planner_outbox::is_latest(const group_order& order) const
{
    const auto found = fences_.find(order.to);
    return found != fences_.end() && found->second == order.fence;
}

bool planner_outbox::is_of_this_term(const group_order& order) const
{
    return order.fence >> fence_shift == latest_fence_ >> fence_shift;
}

void planner_outbox::probe(instant now, const runner_id& runner)
{
    const auto* record = registry_.find(runner);
    if (record == nullptr || is_too_soon(probed_at_, runner, now, options_.probe_interval)) {
        return;
    }
    planner_step step;
    step.kind = planner_step::kind_t::probe;
    step.order.to = runner;
    step.order.address = record->latest.address;
    steps_.push_back(std::move(step));
}

void planner_outbox::record(std::string command)
{
    planner_step step;
    step.kind = planner_step::kind_t::record;
    step.command = std::move(command);
    steps_.push_back(std::move(step));
}

std::vector<planner_step> planner_outbox::take()
{
    return std::exchange(steps_, {});
}

} // namespace cedarpoint

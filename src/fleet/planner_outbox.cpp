#include "cedarpoint/fleet/planner_outbox.h"

#include <utility>

namespace cedarpoint {
namespace {

/// True if `key` was noted less than `interval` ago; notes it otherwise.
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
    : options_{options}, registry_{registry}
{
}

void planner_outbox::begin_term(std::uint64_t term)
{
    term_ = term;
    ordered_at_.clear();
    probed_at_.clear();
}

void planner_outbox::order(instant now, const planned_group& group, order_kind kind,
                           const runner_id& to)
{
    if (is_too_soon(ordered_at_, {to, group.name, kind}, now, options_.order_retry)) {
        return;
    }
    planner_step step;
    step.order.kind = kind;
    step.order.to = to;
    if (const auto* record = registry_.find(to); record != nullptr) {
        step.order.address = record->latest.address;
    }
    step.order.group = group.name;
    step.order.assignment = group.assignment;
    step.order.fence = term_;
    if (kind == order_kind::join) {
        step.order.model = group.model;
        step.order.members = group.members;
    }
    steps_.push_back(std::move(step));
}

void planner_outbox::stage(const runner_id& to, const model_id& model)
{
    planner_step step;
    step.order.kind = order_kind::stage;
    step.order.to = to;
    step.order.address = registry_.find(to)->latest.address;
    step.order.fence = term_;
    step.order.model = model;
    steps_.push_back(std::move(step));
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

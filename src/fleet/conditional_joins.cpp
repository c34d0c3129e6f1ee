#include "cedarpoint/fleet/conditional_joins.h"

namespace cedarpoint {
namespace {

/// A report is this old when it is sent. A younger order may be missing in it.
constexpr duration report_age = milliseconds{250};

/// Returns true if the order will not be carried out later.
bool is_settled(order_result result)
{
    return result != order_result::unknown;
}

} // namespace

conditional_joins::conditional_joins(const runner_registry& registry) : registry_{registry} {}

void conditional_joins::begin_term(bool follows_leader)
{
    follows_leader_ = follows_leader;
    unopened_.clear();
    runners_.clear();
}

void conditional_joins::on_ordered(instant now, const group_order& order)
{
    auto& state = runners_[order.to];
    note_order(now, state);
    if (order.kind == order_kind::join) {
        ++state.unanswered_joins;
    }
}

void conditional_joins::on_order_result(instant now, const group_order& order, order_result result)
{
    const auto found = runners_.find(order.to);
    if (found == runners_.end() || !is_settled(result)) {
        return;
    }
    note_order(now, found->second);
    if (order.kind == order_kind::join) {
        --found->second.unanswered_joins;
    }
}

void conditional_joins::note_order(instant now, runner_state& state)
{
    state.order = now;
    state.report.reset();
}

void conditional_joins::on_report(instant now, const runner_id& runner, const probe_report& report)
{
    if (needs_condition(runner) && is_report_due(now, runner)) {
        runners_[runner].report = report;
    }
}

bool conditional_joins::needs_condition(const runner_id& runner) const
{
    const auto found = runners_.find(runner);
    return follows_leader_ || (found != runners_.end() && found->second.unanswered_joins > 0);
}

std::optional<order_count> conditional_joins::condition_for(const planned_group& group,
                                                            const runner_id& runner) const
{
    const auto found = runners_.find(runner);
    const auto* record = registry_.find(runner);
    if (found == runners_.end() || !found->second.report || record == nullptr) {
        return {};
    }
    const auto& report = *found->second.report;
    const bool is_of_earlier_incarnation =
        report.born != incarnation{} && report.born < record->latest.born;
    if (is_of_earlier_incarnation || is_in_other_group(report, group.name)) {
        return {};
    }
    return report.orders;
}

bool conditional_joins::is_in_other_group(const probe_report& report, const group_id& next) const
{
    return report.membership && report.membership->group != next &&
           !unopened_.contains(report.membership->group);
}

bool conditional_joins::is_report_due(instant now, const runner_id& runner) const
{
    const auto found = runners_.find(runner);
    return found == runners_.end() || !found->second.order ||
           now - *found->second.order >= report_age;
}

} // namespace cedarpoint

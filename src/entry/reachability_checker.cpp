#include "entry/reachability_checker.h"

#include <set>
#include <utility>

namespace cedarpoint {
namespace {

/// Minimum time between the starts of two attempts to connect to one runner.
constexpr duration attempt_interval = milliseconds{600};

} // namespace

reachability_checker::~reachability_checker() = default;

bool reachability_checker::was_tried_recently(instant now, const runner_id& runner) const
{
    const auto found = attempts_.find(runner);
    return found != attempts_.end() &&
           (!found->second.probe->is_done() || now - found->second.begun < attempt_interval);
}

void reachability_checker::check(instant now, const std::vector<suspect>& suspects)
{
    std::set<runner_id> suspected;
    for (const auto& each : suspects) {
        suspected.insert(each.runner);
        if (!was_tried_recently(now, each.runner)) {
            begin(now, each);
        }
    }
    std::erase_if(attempts_, [&](const auto& each) {
        return each.second.probe->is_done() && !suspected.contains(each.first);
    });
}

void reachability_checker::begin(instant now, const suspect& to)
{
    const auto on_end = [this, runner = to.runner](connect_probe::result how) {
        attempts_.at(runner).reachable = how == connect_probe::result::connected;
        if (on_result) {
            on_result();
        }
    };
    auto& next = attempts_[to.runner];
    next = {std::make_unique<connect_probe>(to.address, on_end), now, false};
    next.probe->start();
}

void reachability_checker::add_checks(instant now, health_report& out) const
{
    for (const auto& [runner, each] : attempts_) {
        if (each.probe->is_done()) {
            out.checks[runner] = {milliseconds{to_ms(now - each.begun)}, each.reachable};
        }
    }
}

} // namespace cedarpoint

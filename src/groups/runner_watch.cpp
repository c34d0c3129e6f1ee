#include "cedarpoint/groups/runner_watch.h"

#include <algorithm>

namespace cedarpoint {

void runner_watch::on_report(instant now, const runner_id& runner, const runner_report& report)
{
    auto& it = entries_[runner];
    it.report = report;
    it.received_at = std::max(it.received_at, now);
    highest_ = std::max(highest_, report.assignment);
}

bool runner_watch::is_present(instant now, const runner_id& runner) const
{
    const auto it = entries_.find(runner);
    return it != entries_.end() && now - it->second.received_at < absent_after_;
}

std::optional<runner_report> runner_watch::report_of(const runner_id& runner) const
{
    const auto it = entries_.find(runner);
    if (it == entries_.end()) {
        return {};
    }
    return it->second.report;
}

std::optional<instant> runner_watch::report_time(const runner_id& runner) const
{
    const auto it = entries_.find(runner);
    if (it == entries_.end()) {
        return {};
    }
    return it->second.received_at;
}

} // namespace cedarpoint

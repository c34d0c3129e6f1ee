#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/health_report.h"

#include <map>
#include <set>

namespace cedarpoint {

/// What the entry daemons observe at one runner, summed over their reports.
struct runner_totals {
    std::multiset<milliseconds> since_byte; ///< one for each report that mentions the runner
    int in_flight = 0;                      ///< requests that have not ended
    int refused = 0;                        ///< reports of a connection that was reset
    int progressing = 0;                    ///< reports of a recent byte
    int stalled = 0;         ///< reports of a stall, by daemons that reach some runner
    int stalled_cut_off = 0; ///< the same, by daemons that are cut off from all runners
};

/// Sums over the reports of all entry daemons. A report is added and removed as a whole, so its
/// cost depends on the runners that it mentions, not on the number of entry daemons.
class observation_totals {
public:
    using observations = std::map<runner_id, runner_observation>;

    void add(const observations& report, bool cut_off);
    /// Removes a report that was added with the same arguments.
    void remove(const observations& report, bool cut_off);
    void clear();

    /// Returns the totals of a runner; null if no report mentions it.
    [[nodiscard]] const runner_totals* find(const runner_id& runner) const;
    /// Returns true if a report of a daemon that reaches some runner has been added.
    [[nodiscard]] bool has_witness() const { return reports_not_cut_off_ > 0; }
    /// Returns the requests in flight at each runner without those of `excluded`, a report that has
    /// been added. Omits runners that no other report mentions.
    [[nodiscard]] std::map<runner_id, int> loads_without(const observations& excluded) const;

private:
    std::map<runner_id, runner_totals> runners_; ///< those that a report mentions
    int reports_not_cut_off_ = 0;
};

} // namespace cedarpoint

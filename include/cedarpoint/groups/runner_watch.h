#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// The state that a runner reports.
enum class runner_phase { idle, loading, ready };

/// A runner's report of its state at the time of sending.
struct runner_report {
    runner_phase phase = runner_phase::idle;
    epoch assignment; ///< epoch of the last order that it accepted; 0: none yet
    std::string group;
    int in_flight = 0;    ///< number of requests
    bool leaving = false; ///< its group must be drained
};

/// Stores the latest report of each runner. A runner is present while its latest report is recent.
/// The owner must pass in the reports received by this daemon and by other daemons.
class runner_watch {
public:
    explicit runner_watch(duration absent_after) : absent_after_{absent_after} {}

    void on_report(instant now, const runner_id& runner, const runner_report& report);
    /// Returns true if the runner's latest report arrived less than `absent_after` ago; false if
    /// there was none.
    [[nodiscard]] bool is_present(instant now, const runner_id& runner) const;
    /// Returns the latest report; empty if there was none.
    [[nodiscard]] std::optional<runner_report> report_of(const runner_id& runner) const;
    /// Returns when the latest report arrived; empty if there was none.
    [[nodiscard]] std::optional<instant> report_time(const runner_id& runner) const;
    /// Returns the highest epoch in any report so far; 0 if there was none.
    [[nodiscard]] epoch highest_epoch() const { return highest_; }

private:
    struct entry {
        runner_report report;
        instant received_at;
    };

    duration absent_after_;
    std::unordered_map<runner_id, entry> entries_;
    epoch highest_;
};

} // namespace cedarpoint

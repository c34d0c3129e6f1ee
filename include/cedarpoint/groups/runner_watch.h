#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// A runner's state, as it reports it.
enum class runner_phase { idle, loading, ready };

/// One report of a runner: its state when it was sent.
struct runner_report {
    runner_phase phase = runner_phase::idle;
    epoch assignment; ///< of the last order that it accepted; 0: none yet
    std::string group;
    int in_flight = 0;    ///< requests
    bool leaving = false; ///< its group is to be drained
};

/// The latest report of each runner, and from its age whether the runner is present.
/// Owns: the reports. Relies on: its owner to pass on each report, its own and other daemons'.
class runner_watch {
public:
    explicit runner_watch(duration absent_after) : absent_after_{absent_after} {}

    void on_report(instant now, const runner_id& runner, const runner_report& report);
    /// True if the last report is younger than the constructor's limit. Without one: false.
    [[nodiscard]] bool is_present(instant now, const runner_id& runner) const;
    /// Empty if none ever came.
    [[nodiscard]] std::optional<runner_report> report_of(const runner_id& runner) const;
    /// When the latest report came; empty if none ever came.
    [[nodiscard]] std::optional<instant> heard_at(const runner_id& runner) const;
    /// Of all reports; 0 without any.
    [[nodiscard]] epoch highest_epoch() const { return highest_; }

private:
    struct entry {
        runner_report report;
        instant heard;
    };

    duration absent_after_;
    std::unordered_map<runner_id, entry> entries_;
    epoch highest_;
};

} // namespace cedarpoint

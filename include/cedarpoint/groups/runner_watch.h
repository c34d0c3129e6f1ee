#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <optional>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// What a runner does, as it says itself.
enum class runner_phase { idle, loading, ready };

/// One report of a runner. It lags: it was true when it was sent.
struct runner_report {
    runner_phase phase = runner_phase::idle;
    epoch assignment; ///< of the last order it took; 0: none yet
    std::string group;
    int in_flight = 0;
    bool leaving = false;
};

/// The latest reports, and who has not reported for too long.
class runner_watch {
public:
    explicit runner_watch(duration absent_after) : absent_after_{absent_after} {}

    void on_report(instant now, const runner_id& runner, const runner_report& report);
    /// True if a report came lately. A runner never heard of is absent.
    [[nodiscard]] bool is_present(instant now, const runner_id& runner) const;
    [[nodiscard]] std::optional<runner_report> report_of(const runner_id& runner) const;
    /// When the latest report came; empty if none ever did.
    [[nodiscard]] std::optional<instant> heard_at(const runner_id& runner) const;
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

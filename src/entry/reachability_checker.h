#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_messages.h"
#include "cedarpoint/fleet/health_report.h"
#include "io/connect_probe.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cedarpoint {

/// Tries to connect to runners that the leader can't reach, so that health reports show whether
/// this daemon can. Opens a connection and closes it again; sends no data.
class reachability_checker {
public:
    reachability_checker() = default;
    ~reachability_checker();
    reachability_checker(const reachability_checker&) = delete;
    reachability_checker& operator=(const reachability_checker&) = delete;

    /// Starts an attempt for each suspect without a recent one. Drops the ended attempts for
    /// runners that are no longer suspects.
    void check(instant now, const std::vector<suspect>& suspects);
    /// Adds the results of the attempts that have ended to `out`.
    void add_checks(instant now, health_report& out) const;
    /// Called when an attempt has ended.
    std::function<void()> on_result;

private:
    struct attempt {
        std::unique_ptr<connect_probe> probe;
        instant begun;
        bool reachable = false;
    };
    [[nodiscard]] bool was_tried_recently(instant now, const runner_id& runner) const;
    void begin(instant now, const suspect& to);

    std::map<runner_id, attempt> attempts_;
};

} // namespace cedarpoint

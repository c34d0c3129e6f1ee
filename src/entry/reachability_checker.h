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

/// Tries to connect to runners that the leader can't reach, so that the leader learns whether this
/// daemon can. Opens a connection and closes it again; sends nothing.
class reachability_checker {
public:
    reachability_checker() = default;
    ~reachability_checker();
    reachability_checker(const reachability_checker&) = delete;
    reachability_checker& operator=(const reachability_checker&) = delete;

    /// Begins an attempt for each suspect that was not tried lately; forgets those that are no
    /// longer named.
    void check(instant now, const std::vector<suspect>& suspects);
    /// Adds the attempts that have ended.
    void add_checks(instant now, health_report& out) const;
    /// An attempt has ended.
    std::function<void()> on_result;

private:
    struct attempt {
        std::unique_ptr<connect_probe> probe;
        instant begun;
        bool reachable = false;
    };
    [[nodiscard]] bool was_tried_lately(instant now, const runner_id& runner) const;
    void begin(instant now, const suspect& to);

    std::map<runner_id, attempt> attempts_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/health_reports.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/view_content.h"

#include <vector>

namespace cedarpoint {

/// Builds the view of runners and groups that entry daemons receive.
class view_builder {
public:
    /// `heartbeat`: the interval between two heartbeats of a runner.
    view_builder(duration heartbeat, const runner_registry& registry, const health_reports& reports,
                 const fleet_state& state);

    /// Returns the leader's view: plain runners that are present and not leaving, and the groups
    /// that serve or retire, each with its head.
    [[nodiscard]] view_content build(instant now, const fleet_configuration& configuration,
                                     const group_plan::group_map& groups) const;

private:
    [[nodiscard]] bool is_usable(instant now, const runner_record& record) const;
    void add_plain_runners(instant now, const fleet_configuration& configuration,
                           view_content& out) const;
    void add_groups(instant now, const fleet_configuration& configuration,
                    const group_plan::group_map& groups, view_content& out) const;
    /// Marks the runners to avoid among `peers`, which are interchangeable runners.
    void mark_health(instant now, const std::vector<runner_id>& peers, view_content& out) const;

    duration heartbeat_;
    const runner_registry& registry_;
    const health_reports& reports_;
    const fleet_state& state_;
};

} // namespace cedarpoint

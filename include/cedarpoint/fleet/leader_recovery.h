#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/group_lifecycle.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/runner_registry.h"

#include <vector>

namespace cedarpoint {

/// Returns the state of the runners that a new leader assumes before it receives heartbeats: the
/// runners in the log, as members of the logged groups, with the heads open. It may be as old as
/// the log's latest entry about them, and each heartbeat replaces it. Runners that are gone are
/// omitted.
[[nodiscard]] std::vector<announcement> runners_in_log(const fleet_state& state);

/// Takes over the groups of earlier leaders: those in the log at once, and those that only runners
/// report when their heartbeats arrive.
class leader_recovery {
public:
    leader_recovery(group_plan& plan, group_lifecycle& lifecycle, const runner_registry& registry,
                    const fleet_state& state);

    /// Adds every group in the log as serving, because its head may be open. The members'
    /// heartbeats correct this.
    void inherit_logged_groups(instant now);
    /// Adds the groups that runners report and the plan does not have. An open, complete group
    /// continues to serve; any other is released, because this leader does not know what was
    /// ordered.
    void adopt_reported_groups(instant now, const fleet_configuration& configuration);

private:
    [[nodiscard]] bool is_unknown_group(const runner_record& record) const;
    [[nodiscard]] bool is_head_open(const planned_group& group) const;

    group_plan& plan_;
    group_lifecycle& lifecycle_;
    const runner_registry& registry_;
    const fleet_state& state_;
};

} // namespace cedarpoint

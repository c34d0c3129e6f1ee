#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/fleet/entry_peers.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <map>
#include <vector>

namespace cedarpoint {

/// A runner that requests can be sent to, as described to entry daemons.
struct view_runner {
    runner_id id;
    incarnation its_incarnation;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    int slots = 1; ///< requests served concurrently
    bool accepting = true;
    bool suspected = false; ///< stalled, according to the reports of all entry daemons
    int slowness = 0;       ///< factor by which it is slower than its peers; 0: not clearly slower
};

/// A group, as described to entry daemons. Its head is also in `view_content::runners`.
struct view_group {
    group_id name;
    epoch assignment;
    service_id service;
    model_id model;
    std::vector<runner_id> members; ///< the head first
    bool accepting = true;          ///< false while the group retires
};

/// The runners, groups and entry daemons of a view, and the requests that crash runners.
struct view_content {
    std::map<runner_id, view_runner> runners; ///< plain runners and heads of groups
    std::map<group_id, view_group> groups;
    /// Number of runners that crashed under each suspected cause. 0: an operator has lifted its
    /// quarantine.
    crash_counts crashes;
    std::vector<entry_peer> entry_daemons; ///< those that send requests on for others
};

} // namespace cedarpoint

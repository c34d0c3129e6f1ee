#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <map>
#include <vector>

namespace cedarpoint {

/// A runner that requests can be sent to, as entry daemons learn of it.
struct view_runner {
    runner_id id;
    birth life;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    int slots = 1; ///< requests that it serves at a time
    bool accepting = true;
    bool suspected = false; ///< its streams stall for every entry daemon that has some there
    int slowness = 0;       ///< times slower than its peers; 0: not noticeably
};

/// A group, as entry daemons learn of it; its head is among the runners.
struct view_group {
    group_id name;
    epoch assignment;
    service_id service;
    model_id model;
    std::vector<runner_id> members; ///< the head first
    bool accepting = true;          ///< false while it retires
};

/// The runners and groups of a view, and the requests that are dangerous to runners.
struct view_content {
    std::map<runner_id, view_runner> runners; ///< plain ones, and heads of groups
    std::map<group_id, view_group> groups;
    /// Requests under which runners have ended. 0: an operator has lifted its quarantine.
    crash_counts crashes;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// The phase of a member of a group, as the runner itself reports it.
enum class member_phase { joining, ready, open, closing, broken };

/// The group that a runner reports to be in.
struct group_membership {
    group_id group;
    epoch assignment;
    std::size_t rank = 0; ///< 0 is the head
    member_phase phase = member_phase::joining;
};

/// The content of a runner's heartbeat. Each start of a runner has an id of its own.
struct announcement {
    runner_id id;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain; ///< empty where runners form no groups
    int slots = 1;
    bool draining = false;
    std::uint64_t sequence = 0; ///< a later heartbeat has a higher one
    std::vector<model_id> models;
    std::vector<model_id> staged;
    std::optional<group_membership> membership;
};

} // namespace cedarpoint

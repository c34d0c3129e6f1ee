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

/// Orders the heartbeats of a runner over its lives. A heartbeat of an earlier life comes before
/// all of a later one, however high its number. A clock that was set back between two lives makes
/// the later one seem the earlier: it is not heard until the other is forgotten, which costs its
/// use for that time and frees nothing wrongly.
struct heartbeat_number {
    birth born;
    std::uint64_t sequence = 0;
    friend auto operator<=>(const heartbeat_number&, const heartbeat_number&) = default;
};

/// The content of a runner's heartbeat. A runner may start again under its id: then it holds and
/// knows nothing of before.
struct announcement {
    runner_id id;
    birth born;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain; ///< empty where runners form no groups
    int slots = 1;
    bool draining = false;
    std::uint64_t sequence = 0; ///< a later heartbeat of the same life has a higher one
    std::vector<model_id> models;
    std::vector<model_id> staged;
    std::optional<group_membership> membership;

    [[nodiscard]] heartbeat_number number() const { return {born, sequence}; }
};

} // namespace cedarpoint

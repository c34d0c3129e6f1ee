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

/// The phase of a group's member, as reported by the runner.
enum class member_phase { joining, ready, open, closing, broken };

/// A runner's group membership, as reported by the runner.
struct group_membership {
    group_id group;
    epoch assignment;
    std::size_t rank = 0; ///< 0 is the head
    member_phase phase = member_phase::joining;
};

/// Orders the heartbeats of a runner across its incarnations: a heartbeat of an earlier incarnation
/// precedes all of a later one, regardless of its number. If the clock was set back between two
/// incarnations, the new one appears to be the older: its heartbeats are refused until the registry
/// removes the record of the previous one. The runner is unused until then, but no member of a
/// group is freed wrongly.
struct heartbeat_number {
    incarnation born;
    std::uint64_t sequence = 0;
    friend auto operator<=>(const heartbeat_number&, const heartbeat_number&) = default;
};

/// The content of a runner's heartbeat. A runner may restart under its id and then has no state of
/// its earlier incarnation.
struct announcement {
    runner_id id;
    incarnation born;
    service_id service;
    endpoint address;
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain; ///< empty if the runner's service forms no groups
    int slots = 1;
    bool draining = false;
    std::uint64_t sequence = 0; ///< a later heartbeat of the same incarnation has a higher one
    std::vector<model_id> models;
    std::vector<model_id> staged;
    std::optional<group_membership> membership;

    [[nodiscard]] heartbeat_number number() const { return {born, sequence}; }
};

} // namespace cedarpoint

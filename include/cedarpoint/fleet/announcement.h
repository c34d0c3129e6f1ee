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

/// Where a runner stands in its group, as it tells itself.
enum class member_phase { joining, ready, open, closing, broken };

/// A runner's own account of the group that it is in.
struct group_membership {
    group_id group;
    epoch assignment;
    std::size_t rank = 0; ///< 0 is the head
    member_phase phase = member_phase::joining;
};

/// What a runner tells of itself in a heartbeat. Each start of a runner has an id of its own.
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

/// Orders that runners of grouped services take.
enum class order_kind { join, open, leave, stage };

/// One order to one runner. Runners refuse an older fence and an older epoch.
struct group_order {
    order_kind kind = order_kind::join;
    runner_id to;
    endpoint address;
    group_id group;
    epoch assignment;
    std::uint64_t fence = 0;
    model_id model;
    std::vector<runner_id> members; ///< of a join, the head first
};

/// How an order ended.
enum class order_result {
    taken,     ///< begun, or it holds already
    unfit,     ///< it does not fit the runner's state
    fenced,    ///< a newer fence or epoch was seen
    refused,   ///< another runner has this address
    unreached, ///< the address refused the connection: nothing runs there
    unknown    ///< no answer: it may be carried out later
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The kinds of orders to runners of services with groups.
enum class order_kind {
    join,  ///< become a member of a group: load the model, then report ready
    open,  ///< sent to a head whose members are all ready: accept requests
    leave, ///< stop being a member
    stage  ///< copy a model's weights from the store to the runner's host
};

/// One order to one runner. A runner refuses an order with a fence or an epoch below one that it
/// has seen.
struct group_order {
    order_kind kind = order_kind::join;
    runner_id to;
    endpoint address;
    group_id group;
    epoch assignment;
    std::uint64_t fence = 0; ///< the leader's term, then a counter; above all earlier orders
    model_id model;
    std::vector<runner_id> members; ///< set for `join`; the head first
    /// If set, the runner refuses the order as unfit unless it has begun just this many orders.
    std::optional<order_count> condition;
};

/// The result of an order.
enum class order_result {
    taken,     ///< accepted, or already carried out
    unfit,     ///< not applicable in the runner's present state
    fenced,    ///< the runner has seen a newer fence or epoch
    refused,   ///< another runner has this address
    unreached, ///< the address refused the connection
    unknown    ///< no answer; the order may still be carried out
};

/// Return the names that the log and the metrics use.
std::string_view name_of(order_kind kind);
std::string_view name_of(order_result result);

/// An action that the planner asks its caller to perform.
struct planner_step {
    enum class kind_t {
        order,
        probe, ///< asks a runner for its state; only `to` and `address` of the order are set
        record ///< proposes `command` to the replicated log
    };
    kind_t kind = kind_t::order;
    group_order order;
    std::string command;
};

} // namespace cedarpoint

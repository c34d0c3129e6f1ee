#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// Orders that runners of grouped services take.
enum class order_kind {
    join,  ///< become a member of a group: load the model, then report ready
    open,  ///< to a head whose members are all ready: take requests
    leave, ///< stop being a member
    stage  ///< copy a model's weights from the store to the runner's host
};

/// One order to one runner. Runners refuse an older fence and an older epoch.
struct group_order {
    order_kind kind = order_kind::join;
    runner_id to;
    endpoint address;
    group_id group;
    epoch assignment;
    std::uint64_t fence = 0; ///< the leader's term, then a counter: above all earlier orders
    model_id model;
    std::vector<runner_id> members; ///< of a join, the head first
};

/// How an order ended.
enum class order_result {
    taken,     ///< being carried out, or it holds already
    unfit,     ///< it does not fit the runner's state
    fenced,    ///< the runner has seen a newer fence or epoch
    refused,   ///< another runner has this address
    unreached, ///< the address refused the connection
    unknown    ///< no answer: it may be carried out later
};

/// Names in the log and in metrics.
std::string_view name_of(order_kind kind);
std::string_view name_of(order_result result);

/// What the planner asks of the process around it.
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

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The phases of a group in the leader's plan. The transitions are shown in `group_lifecycle.h`.
enum class plan_phase {
    joining,   ///< members are ordered to join; the group has not been opened
    opening,   ///< all members were ready; the head is ordered to open
    serving,   ///< the head reports that it is open
    retiring,  ///< accepts no new requests; ends when those in flight have ended
    releasing, ///< the head is ordered to leave
    waiting,   ///< the head can't be reached; the group may still serve behind a network partition
    disbanding ///< each member is ordered to leave, and is free once it has confirmed that
};

inline constexpr std::array<plan_phase, 7> plan_phases{
    plan_phase::joining,   plan_phase::opening, plan_phase::serving,   plan_phase::retiring,
    plan_phase::releasing, plan_phase::waiting, plan_phase::disbanding};

/// Returns the name of a phase in the log and in metrics.
std::string_view name_of(plan_phase phase);

/// The orders to join that a runner was sent under epochs of its own, one after the other. Of all
/// copies that may still be carried out, none has the epoch of the latest.
struct single_join {
    epoch assignment;   ///< of the latest order
    incarnation to;     ///< the runner's incarnation when that order was sent
    instant sent;       ///< time of that order
    int orders = 0;     ///< 0: none was sent
    bool taken = false; ///< the runner has answered that it took that order
};

/// One group in the leader's plan.
struct planned_group {
    group_id name;
    epoch assignment;
    service_id service;
    model_id model;
    std::vector<runner_id> members; ///< the head first; never empty
    plan_phase phase = plan_phase::joining;
    instant since;         ///< when it entered its phase
    std::size_t loads = 0; ///< members that load weights from the store to join

    /// In phase `waiting`: the members that answered a probe since the head became unreachable, and
    /// the time when the leader saw the answer.
    std::map<runner_id, instant> answered;
    bool end_recorded = false; ///< its removal from the log was proposed; the head can't be open

    /// The latest order to join to the head, under the group's epoch.
    single_join head_join;
    /// Members other than the head that were ordered to join under the group's epoch.
    std::set<runner_id> ordered;
    /// Those of them that were ordered more than once, so that a copy may be carried out after they
    /// have left.
    std::set<runner_id> may_rejoin;
    bool head_left = false; ///< the head has answered the order to leave
    /// Members that were ordered to join once more, under an epoch above the group's, so that they
    /// refuse all earlier orders to join it.
    std::map<runner_id, single_join> fenced;

    [[nodiscard]] const runner_id& head() const { return members.front(); }
    /// Returns the epoch under which the member was last ordered to join the group.
    [[nodiscard]] epoch epoch_of(const runner_id& member) const;
    /// Marks all members except the head as possibly ordered to join more than once, because an
    /// earlier leader has given the orders.
    void assume_repeated_joins();
};

/// Returns the name of a group: the head's id and the epoch, so that a new leader can identify the
/// head before it has received a heartbeat of it.
[[nodiscard]] group_id make_group_name(const runner_id& head, epoch assignment);
/// Returns the head that `name` was made from.
[[nodiscard]] runner_id head_of(const group_id& name);

} // namespace cedarpoint

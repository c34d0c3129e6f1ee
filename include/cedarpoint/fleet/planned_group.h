#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <array>
#include <cstddef>
#include <map>
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

    [[nodiscard]] const runner_id& head() const { return members.front(); }
};

/// Returns the name of a group: the head's id and the epoch, so that a new leader can identify the
/// head before it has received a heartbeat of it.
[[nodiscard]] group_id make_group_name(const runner_id& head, epoch assignment);
/// Returns the head that `name` was made from.
[[nodiscard]] runner_id head_of(const group_id& name);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/consensus/raft_node.h"

#include <cstddef>
#include <optional>

namespace cedarpoint {

// Selects the voters of a log whose control daemons may be added, lost or replaced. The leader
// changes one member at a time, in this order: it demotes a voter that has lost its storage; it
// promotes a learner while there are too few voters; it demotes an unresponsive voter that a
// learner can replace; it removes an unresponsive learner. A daemon that is not a member asks to
// join and becomes a learner. A voter that is lost permanently is thus replaced, so that the log
// can tolerate the next loss.

/// Returns the number of voters with which a log tolerates `losses` simultaneous losses.
[[nodiscard]] constexpr std::size_t voters_for(std::size_t losses)
{
    return 2 * losses + 1;
}

/// Returns the voter that the leader should demote to learner now, because its storage is lost;
/// empty if there is none. It is promoted again once it has caught up.
[[nodiscard]] std::optional<member_id> next_lost_storage(const raft_node& leader);

/// Returns the learner that the leader should promote to voter now; empty if there is none. Only a
/// learner whose log is nearly up to date is promoted, and only while there are fewer voters than
/// wanted. An odd number of voters becomes even only if a second learner is ready to be promoted
/// next, because an even number tolerates no more losses than the odd number below it.
[[nodiscard]] std::optional<member_id> next_promotion(instant now, const raft_node& leader,
                                                      std::size_t wanted_voters);

/// Returns the voter that the leader should demote to learner now, because it does not respond and
/// a learner can replace it; empty if there is none. If it returns, it continues as a learner.
[[nodiscard]] std::optional<member_id> next_demotion(instant now, const raft_node& leader,
                                                     std::size_t wanted_voters);

/// Returns a learner that has not responded for so long that the leader should remove it; empty if
/// there is none. If it returns, it asks to join again.
[[nodiscard]] std::optional<member_id> next_removal(instant now, const raft_node& leader);

/// A change to one member.
struct membership_change {
    enum class kind_t { promote, demote, remove };
    kind_t kind = kind_t::promote;
    member_id member;
};

/// Returns the change that the leader should make now, in the order above; empty if there is none.
[[nodiscard]] std::optional<membership_change>
next_membership_change(instant now, const raft_node& leader, std::size_t wanted_voters);

/// Returns the change that the leader of a log with a fixed list of members should make now: it
/// demotes a voter that has lost its storage, and promotes it once it has caught up. `configured`
/// lists the members with their roles.
[[nodiscard]] std::optional<membership_change>
next_storage_replacement(instant now, const raft_node& leader, const wire::membership& configured);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/consensus/raft_node.h"

#include <cstddef>
#include <optional>

namespace cedarpoint {

// Who votes in a log whose control daemons come and go. The leader changes one member at a time, in
// this order: it promotes a learner while voters are missing; it demotes a silent voter that a
// learner can replace; it removes a silent learner. A daemon that is no member asks to join and
// becomes a learner. A voter that is gone for good is thus replaced, so that the log stays able to
// bear the next loss.

/// Voters that a log needs so that `losses` of them may be lost at once.
[[nodiscard]] constexpr std::size_t voters_for(std::size_t losses)
{
    return 2 * losses + 1;
}

/// The learner that the leader should make a voter now; empty while there is none. Only a learner
/// that follows closely, and only while voters are wanted. From an odd number of voters to an even
/// one only if a second learner is ready to follow: an even number bears no loss more.
[[nodiscard]] std::optional<member_id> next_promotion(instant now, const raft_node& leader,
                                                      std::size_t wanted_voters);

/// The voter that the leader should make a learner now, because it has been silent and a learner
/// can take its place; empty if there is none. One that comes back follows as a learner.
[[nodiscard]] std::optional<member_id> next_demotion(instant now, const raft_node& leader,
                                                     std::size_t wanted_voters);

/// A learner that has been silent for so long that it is no longer kept as a member; empty if there
/// is none. It asks to join if it comes back.
[[nodiscard]] std::optional<member_id> next_removal(instant now, const raft_node& leader);

/// One change of the members.
struct membership_change {
    enum class kind_t { promote, demote, remove };
    kind_t kind = kind_t::promote;
    member_id member;
};

/// The change that the leader should make now, by the order above; empty if there is none.
[[nodiscard]] std::optional<membership_change>
next_membership_change(instant now, const raft_node& leader, std::size_t wanted_voters);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/consensus/raft_node.h"

#include <cstddef>
#include <optional>

namespace cedarpoint {

/// Voters that a log needs so that `losses` of them may be lost at once.
[[nodiscard]] constexpr std::size_t voters_for(std::size_t losses)
{
    return 2 * losses + 1;
}

/// The learner that the leader should make a voter now; empty while there is none. Only a learner
/// that follows closely, and only while voters are wanted; an odd number is never left for an even
/// one unless a second learner is there to follow.
[[nodiscard]] std::optional<member_id> next_promotion(instant now, const raft_node& leader,
                                                      std::size_t wanted_voters);

/// The voter that the leader should make a learner now, because it has been silent for long and a
/// learner is there to take its place; empty if there is none. One that comes back follows as a
/// learner; one that is gone for good leaves the log able to bear the next loss.
[[nodiscard]] std::optional<member_id> next_demotion(instant now, const raft_node& leader,
                                                     std::size_t wanted_voters);

/// A learner that has been silent for so long that it is no longer kept as a member; empty if there
/// is none. It asks to join if it comes back.
[[nodiscard]] std::optional<member_id> next_removal(instant now, const raft_node& leader);

} // namespace cedarpoint

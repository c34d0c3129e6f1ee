#pragma once

// What a member of a log knows of its elections, for people who look for the reason why there is no
// leader.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// A voter or learner of one log; the id of its daemon, with or without a disk.
using member_id = id<struct member_tag>;

/// Why a member refuses its vote.
enum class vote_refusal {
    none,             ///< it grants it
    follows_leader,   ///< it leads, or has heard from a leader within an election timeout
    lease_may_run,    ///< it has started lately, and may have granted a lease before
    candidate_behind, ///< the candidate's log is older than its own
    not_whole,        ///< it may have lost what it had stored, and has not caught up
    old_term,         ///< the candidate's term is not above its own
    voted_already     ///< for another candidate, in this term
};

[[nodiscard]] std::string_view name_of(vote_refusal in);

/// What a member knows of another one since it has started.
struct election_contact {
    std::optional<instant> heard;                    ///< its latest message of any kind
    int votes_asked = 0;                             ///< votes and pre-votes that it was asked for
    int votes_granted = 0;                           ///< of these
    int votes_refused = 0;                           ///< of these; the others were not answered
    int votes_taken = 0;                             ///< that it asked for itself
    vote_refusal latest_answer = vote_refusal::none; ///< to the latest of those
};

/// The state of a member's elections.
struct election_status {
    struct peer {
        member_id member;
        bool voter = false;
        election_contact contact;
    };

    std::string_view role;
    std::uint64_t term = 0;
    std::uint64_t last_term = 0; ///< of the last entry
    std::uint64_t last_index = 0;
    bool whole = false; ///< it has all that it ever stored
    bool voter = false;
    duration until_election{};
    duration until_vote{}; ///< it votes for nobody before
    std::vector<peer> peers;
};

} // namespace cedarpoint

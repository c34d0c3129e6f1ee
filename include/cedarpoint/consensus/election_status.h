#pragma once

// The election state of one member of a log, reported so that operators can find out why a log has
// no leader.

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// Identifies a voter or learner of one log by the id of its daemon, which may have no disk.
using member_id = id<struct member_tag>;

/// Identifies what one member has stored since it last started without stored state. A member whose
/// disk is lost gets a new one: it has forgotten its votes and entries, so its answers must not be
/// mistaken for those of the earlier storage.
enum class storage_id : std::uint64_t {};

/// The storage of a member that has stored everything since the system started for the first time.
constexpr storage_id first_storage{0};

/// The reason why a member refuses to vote for a candidate.
enum class vote_refusal {
    none,                ///< the vote is granted
    follows_leader,      ///< it leads, or received an append within an election timeout
    lease_may_run,       ///< a lease granted before its restart may not have expired
    candidate_behind,    ///< the candidate's log is older than the member's
    may_have_lost_state, ///< the candidate's log does not list its storage as a voter's
    old_term,            ///< the candidate's term is too old
    voted_already        ///< it voted for another candidate in this term, or is no follower
};

[[nodiscard]] std::string_view name_of(vote_refusal in);

/// What one member has recorded about another since its own start.
struct election_contact {
    std::optional<instant> heard;    ///< when its latest message of any kind arrived
    int votes_requested = 0;         ///< votes and pre-votes requested from it
    int votes_granted = 0;           ///< of these
    int votes_refused = 0;           ///< of these; the rest are unanswered
    int votes_requested_by_peer = 0; ///< votes and pre-votes that it requested
    vote_refusal latest_answer = vote_refusal::none; ///< the answer to its latest request
};

/// The election state of a member.
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
    bool whole = false; ///< the log lists its storage as a voter's
    bool voter = false;
    duration until_election{};
    duration until_vote{}; ///< the time for which it still refuses all votes
    std::vector<peer> peers;
};

} // namespace cedarpoint

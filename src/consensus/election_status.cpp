#include "cedarpoint/consensus/election_status.h"

namespace cedarpoint {

std::string_view name_of(vote_refusal in)
{
    switch (in) {
    case vote_refusal::none:
        return "granted";
    case vote_refusal::follows_leader:
        return "follows a leader";
    case vote_refusal::lease_may_run:
        return "a lease may not have expired";
    case vote_refusal::candidate_behind:
        return "the candidate is behind";
    case vote_refusal::may_have_lost_state:
        return "may have lost stored state";
    case vote_refusal::old_term:
        return "old term";
    case vote_refusal::voted_already:
        return "voted already";
    }
    return "";
}

} // namespace cedarpoint

#include "cedarpoint/consensus/membership_policy.h"

#include <vector>

namespace cedarpoint {
namespace {

constexpr duration recently = seconds{1};
constexpr std::uint64_t close_behind = 64; ///< entries
constexpr duration voter_patience = seconds{3};
constexpr duration learner_patience = seconds{60};

bool follows_closely(instant now, const raft_node& leader, const member_id& member)
{
    const auto heard = leader.heard_from(member);
    return heard && now - *heard < recently &&
           leader.match_of(member) + close_behind >= leader.last_index();
}

struct standing {
    std::size_t voters = 0;
    std::vector<member_id> ready;  ///< learners that follow closely
    std::vector<member_id> silent; ///< voters that have not answered for long
};

standing standing_of(instant now, const raft_node& leader)
{
    standing out;
    for (const auto& each : leader.members().members()) {
        const member_id member{each.id()};
        out.voters += each.voter() ? 1 : 0;
        if (!each.voter() && follows_closely(now, leader, member)) {
            out.ready.push_back(member);
        }
        if (each.voter() && leader.silence_of(now, member) > voter_patience) {
            out.silent.push_back(member);
        }
    }
    return out;
}

} // namespace

std::optional<member_id> next_promotion(instant now, const raft_node& leader,
                                        std::size_t wanted_voters)
{
    const auto now_is = standing_of(now, leader);
    const std::size_t needed = now_is.voters % 2 == 0 ? 1 : 2;
    if (now_is.voters >= wanted_voters || now_is.ready.size() < needed) {
        return {};
    }
    return now_is.ready.front();
}

std::optional<member_id> next_demotion(instant now, const raft_node& leader,
                                       std::size_t wanted_voters)
{
    const auto now_is = standing_of(now, leader);
    const bool replaceable = now_is.voters >= wanted_voters && !now_is.ready.empty();
    if (!replaceable || now_is.silent.empty()) {
        return {};
    }
    return now_is.silent.front();
}

std::optional<member_id> next_removal(instant now, const raft_node& leader)
{
    for (const auto& each : leader.members().members()) {
        const member_id member{each.id()};
        if (!each.voter() && leader.silence_of(now, member) > learner_patience) {
            return member;
        }
    }
    return {};
}

} // namespace cedarpoint

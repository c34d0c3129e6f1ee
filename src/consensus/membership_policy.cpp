#include "cedarpoint/consensus/membership_policy.h"

#include <vector>

namespace cedarpoint {
namespace {

constexpr duration recently = seconds{1};
constexpr std::uint64_t close_behind = 64; ///< entries

bool follows_closely(instant now, const raft_node& leader, const member_id& member)
{
    const auto heard = leader.heard_from(member);
    return heard && now - *heard < recently &&
           leader.match_of(member) + close_behind >= leader.last_index();
}

} // namespace

std::optional<member_id> next_promotion(instant now, const raft_node& leader,
                                        std::size_t wanted_voters)
{
    std::size_t voters = 0;
    std::vector<member_id> ready;
    for (const auto& each : leader.members().members()) {
        const member_id member{each.id()};
        voters += each.voter() ? 1 : 0;
        if (!each.voter() && follows_closely(now, leader, member)) {
            ready.push_back(member);
        }
    }
    const std::size_t needed = voters % 2 == 0 ? 1 : 2;
    if (voters >= wanted_voters || ready.size() < needed) {
        return {};
    }
    return ready.front();
}

} // namespace cedarpoint

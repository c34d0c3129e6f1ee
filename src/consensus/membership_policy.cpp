#include "cedarpoint/consensus/membership_policy.h"

#include <vector>

namespace cedarpoint {
namespace {

/// A learner is promoted only if it answered an append sent within this time.
constexpr duration promotion_ack_age = seconds{1};
/// A learner is promoted only if it lacks at most this many log entries.
constexpr std::uint64_t promotion_log_lag = 64;
/// A voter that has not answered for longer than this is replaced by a learner.
constexpr duration demotion_delay = seconds{3};
/// A learner that has not answered for longer than this is removed.
constexpr duration removal_delay = seconds{60};

bool follows_closely(instant now, const raft_node& leader, const member_id& member)
{
    const auto heard = leader.last_acked_send(member);
    return heard && now - *heard < promotion_ack_age &&
           leader.match_of(member) + promotion_log_lag >= leader.last_index();
}

/// The members, grouped by the membership change that applies to them.
struct member_overview {
    std::size_t voters = 0;
    std::vector<member_id> ready_learners;
    std::vector<member_id> silent_voters;
    std::vector<member_id> silent_learners;
};

member_overview classify_members(instant now, const raft_node& leader)
{
    member_overview out;
    for (const auto& each : leader.members().members()) {
        const member_id member{each.id()};
        const auto silence = leader.time_since_acked_send(now, member);
        if (each.voter()) {
            ++out.voters;
            if (silence > demotion_delay) {
                out.silent_voters.push_back(member);
            }
            continue;
        }
        if (follows_closely(now, leader, member)) {
            out.ready_learners.push_back(member);
        }
        if (silence > removal_delay) {
            out.silent_learners.push_back(member);
        }
    }
    return out;
}

std::optional<member_id> first_of(const std::vector<member_id>& members)
{
    return members.empty() ? std::nullopt : std::optional{members.front()};
}

} // namespace

std::optional<member_id> next_lost_storage(const raft_node& leader)
{
    for (const auto& each : leader.members().members()) {
        if (const member_id member{each.id()}; leader.has_lost_storage(member)) {
            return member;
        }
    }
    return {};
}

std::optional<member_id> next_promotion(instant now, const raft_node& leader,
                                        std::size_t wanted_voters)
{
    const auto members = classify_members(now, leader);
    const std::size_t needed = members.voters % 2 == 0 ? 1 : 2;
    if (members.voters >= wanted_voters || members.ready_learners.size() < needed) {
        return {};
    }
    return first_of(members.ready_learners);
}

std::optional<member_id> next_demotion(instant now, const raft_node& leader,
                                       std::size_t wanted_voters)
{
    const auto members = classify_members(now, leader);
    if (members.voters < wanted_voters || members.ready_learners.empty()) {
        return {};
    }
    return first_of(members.silent_voters);
}

std::optional<member_id> next_removal(instant now, const raft_node& leader)
{
    return first_of(classify_members(now, leader).silent_learners);
}

std::optional<membership_change> next_membership_change(instant now, const raft_node& leader,
                                                        std::size_t wanted_voters)
{
    using kind_t = membership_change::kind_t;
    if (const auto member = next_lost_storage(leader)) {
        return membership_change{kind_t::demote, *member};
    }
    if (const auto member = next_promotion(now, leader, wanted_voters)) {
        return membership_change{kind_t::promote, *member};
    }
    if (const auto member = next_demotion(now, leader, wanted_voters)) {
        return membership_change{kind_t::demote, *member};
    }
    if (const auto member = next_removal(now, leader)) {
        return membership_change{kind_t::remove, *member};
    }
    return {};
}

std::optional<membership_change> next_storage_replacement(instant now, const raft_node& leader,
                                                          const wire::membership& configured)
{
    using kind_t = membership_change::kind_t;
    if (const auto member = next_lost_storage(leader)) {
        return membership_change{kind_t::demote, *member};
    }
    for (const auto& each : configured.members()) {
        const member_id member{each.id()};
        if (each.voter() && leader.is_member(member) && !leader.is_voter(member) &&
            follows_closely(now, leader, member)) {
            return membership_change{kind_t::promote, member};
        }
    }
    return {};
}

} // namespace cedarpoint

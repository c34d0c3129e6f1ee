// Elections: pre-votes and votes.

#include "consensus/raft_node_priv.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace cedarpoint {

void raft_node::become_follower(instant now, std::uint64_t term, const member_id& leader)
{
    if (term > hard_.term()) {
        hard_.set_term(term);
        hard_.clear_vote();
        save_hard_state();
    }
    role_ = role::follower;
    leader_ = leader;
    votes_.clear();
    progress_.clear();
    reset_election_timer(now, extended_election_timeout());
}

void raft_node::start_pre_vote(instant now)
{
    role_ = role::pre_candidate;
    leader_ = {};
    votes_.clear();
    broadcast_vote(now, msg::pre_vote, hard_.term() + 1);
    count_vote(now, self_, own_storage());
}

void raft_node::start_election(instant now)
{
    role_ = role::candidate;
    hard_.set_term(hard_.term() + 1);
    hard_.set_vote(self_.str());
    save_hard_state();
    votes_.clear();
    election_at_ += extended_election_timeout() - options_.election_timeout; // a vote takes writes
    broadcast_vote(now, msg::vote, hard_.term());
    count_vote(now, self_, own_storage());
}

void raft_node::count_vote(instant now, const member_id& from, storage_id storage)
{
    const auto admitted = admitted_storage(from);
    if (!admitted || (!needs_all_votes() && admitted != storage)) {
        return;
    }
    votes_[from] = storage;
    if (votes_.size() < election_quorum()) {
        return;
    }
    if (role_ == role::pre_candidate) {
        start_election(now);
    }
    else if (role_ == role::candidate) {
        become_leader(now);
    }
}

void raft_node::become_leader(instant now)
{
    role_ = role::leader;
    leader_ = self_;
    leader_since_ = now;
    progress_.clear();
    wire::log_entry entry;
    entry.set_term(hard_.term());
    entry.set_index(last_index() + 1);
    if (last_index() == 0) {
        *entry.mutable_members() = members_; // after a restart only the log lists the members
        for (auto& it : *entry.mutable_members()->mutable_members()) {
            if (const auto found = votes_.find(member_id{it.id()}); found != votes_.end()) {
                it.set_storage(static_cast<std::uint64_t>(found->second));
            }
        }
    }
    term_start_ = entry.index();
    append_entry(std::move(entry));
    note_admission();
    broadcast_append(now);
    advance_leader_commit();
}

void raft_node::broadcast_vote(instant now, msg::kind_t kind, std::uint64_t term)
{
    // A request may be lost. It is repeated while its answer can come before the next election.
    vote_repeat_at_ = now + options_.election_timeout;
    if (vote_repeat_at_ + options_.election_timeout > election_at_) {
        vote_repeat_at_ = instant::max();
    }
    auto out = make(kind, term);
    out.set_last_index(last_index());
    out.set_last_term(last_term());
    for (const auto& it : members_.members()) {
        if (it.voter() && it.id() != self_.str() && !votes_.contains(member_id{it.id()})) {
            ++contacts_[member_id{it.id()}].votes_requested;
            out.set_voter_storage(it.storage());
            send(member_id{it.id()}, out);
        }
    }
}

bool raft_node::is_up_to_date(const msg& in) const
{
    return std::pair{in.last_term(), in.last_index()} >= std::pair{last_term(), last_index()};
}

election_contact& raft_node::contact_of(const member_id& it)
{
    return is_member(it) ? contacts_[it] : non_member_contact_;
}

vote_refusal raft_node::refusal_for_all(instant now) const
{
    const bool follows =
        leader_contact_at_ && now - *leader_contact_at_ < options_.election_timeout;
    if (role_ == role::leader || follows) {
        return vote_refusal::follows_leader;
    }
    return now < no_vote_until_ ? vote_refusal::lease_may_run : vote_refusal::none;
}

vote_refusal raft_node::refusal_for(instant now, const msg& in) const
{
    if (const auto why = refusal_for_all(now); why != vote_refusal::none) {
        return why;
    }
    if (!is_up_to_date(in)) {
        return vote_refusal::candidate_behind;
    }
    // A voter that may have lost stored state may vote only for the first leader of an empty log.
    const bool begins_log = needs_all_votes() && in.last_index() == 0;
    const bool counts = storage_id{in.voter_storage()} == own_storage();
    return counts || begins_log ? vote_refusal::none : vote_refusal::may_have_lost_state;
}

vote_refusal raft_node::evaluate_vote_request(instant now, const member_id& from,
                                              const msg& in) const
{
    if (in.term() < hard_.term()) {
        return vote_refusal::old_term;
    }
    const bool free = hard_.vote().empty() || hard_.vote() == from.str();
    if (!free || role_ != role::follower) {
        return vote_refusal::voted_already;
    }
    return refusal_for(now, in);
}

void raft_node::on_pre_vote(instant now, const member_id& from, const msg& in)
{
    const auto why = in.term() > hard_.term() ? refusal_for(now, in) : vote_refusal::old_term;
    auto& contact = contact_of(from);
    ++contact.votes_requested_by_peer;
    contact.latest_answer = why;
    auto out = make(msg::pre_vote_reply, hard_.term());
    out.set_ok(why == vote_refusal::none);
    send(from, std::move(out));
}

void raft_node::on_vote(instant now, const member_id& from, const msg& in)
{
    auto& contact = contact_of(from);
    ++contact.votes_requested_by_peer;
    contact.latest_answer = refusal_for_all(now);
    if (contact.latest_answer != vote_refusal::none) {
        return; // it follows a leader, or an earlier lease may not have expired
    }
    if (in.term() > hard_.term()) {
        become_follower(now, in.term(), {});
    }
    contact.latest_answer = evaluate_vote_request(now, from, in);
    const bool grant = contact.latest_answer == vote_refusal::none;
    if (grant) {
        hard_.set_vote(from.str());
        save_hard_state();
        reset_election_timer(now, extended_election_timeout());
    }
    auto out = make(msg::vote_reply, hard_.term());
    out.set_ok(grant);
    send(from, std::move(out));
}

void raft_node::on_vote_reply(instant now, const member_id& from, const msg& in)
{
    if (in.term() > hard_.term()) {
        become_follower(now, in.term(), {});
        if (in.kind() == msg::pre_vote_reply) {
            // It asked in an old term and knows no leader, so it asks again soon.
            election_at_ = std::min(election_at_, now + 2 * options_.election_timeout);
        }
        return;
    }
    auto& contact = contact_of(from);
    ++(in.ok() ? contact.votes_granted : contact.votes_refused);
    const auto asked = in.kind() == msg::vote_reply ? role::candidate : role::pre_candidate;
    // A granted pre-vote carries the voter's own term, which may be older than this member's.
    const bool current = in.kind() == msg::pre_vote_reply || in.term() == hard_.term();
    if (in.ok() && role_ == asked && current) {
        count_vote(now, from, storage_id{in.storage()});
    }
}

election_status raft_node::elections(instant now) const
{
    constexpr std::array<std::string_view, 4> roles{"follower", "pre_candidate", "candidate",
                                                    "leader"};
    election_status out;
    out.role = roles.at(static_cast<std::size_t>(role_));
    out.term = hard_.term();
    out.last_term = last_term();
    out.last_index = last_index();
    out.whole = is_admitted();
    out.voter = is_voter(self_);
    out.until_election = election_at_ - now;
    out.until_vote = std::max(no_vote_until_ - now, duration{});
    for (const auto& each : members_.members()) {
        const member_id member{each.id()};
        if (member != self_) {
            const auto found = contacts_.find(member);
            out.peers.push_back({member, each.voter(),
                                 found == contacts_.end() ? election_contact{} : found->second});
        }
    }
    return out;
}

} // namespace cedarpoint

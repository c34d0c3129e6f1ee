// Elections: pre-votes and votes.

#include "consensus/raft_node_priv.h"

#include <algorithm>

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
    arm_election(now);
}

void raft_node::start_pre_vote(instant now)
{
    role_ = role::pre_candidate;
    leader_ = {};
    votes_.clear();
    broadcast_vote(msg::pre_vote, hard_.term() + 1);
    count_vote(now, self_);
}

void raft_node::start_election(instant now)
{
    role_ = role::candidate;
    hard_.set_term(hard_.term() + 1);
    hard_.set_vote(self_.str());
    hard_.set_whole(true);
    save_hard_state();
    votes_.clear();
    broadcast_vote(msg::vote, hard_.term());
    count_vote(now, self_);
}

void raft_node::count_vote(instant now, const member_id& from)
{
    if (!is_voter(from)) {
        return;
    }
    votes_.insert(from);
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
    lead_since_ = now;
    progress_.clear();
    wire::log_entry entry;
    entry.set_term(hard_.term());
    entry.set_index(last_index() + 1);
    if (last_index() == 0) {
        *entry.mutable_members() = members_; // after a restart the log alone has to name them
    }
    term_start_ = entry.index();
    append_entry(std::move(entry));
    broadcast_append(now);
    advance_leader_commit();
}

void raft_node::broadcast_vote(msg::kind_t kind, std::uint64_t term)
{
    auto out = make(kind, term);
    out.set_last_index(last_index());
    out.set_last_term(last_term());
    for (const auto& it : members_.members()) {
        if (it.voter() && it.id() != self_.str()) {
            send(member_id{it.id()}, out);
        }
    }
}

bool raft_node::is_up_to_date(const msg& in) const
{
    return std::pair{in.last_term(), in.last_index()} >= std::pair{last_term(), last_index()};
}

void raft_node::on_pre_vote(instant now, const member_id& from, const msg& in)
{
    auto out = make(msg::pre_vote_reply, hard_.term());
    out.set_ok(in.term() > hard_.term() && may_vote_for(now, in));
    send(from, std::move(out));
}

void raft_node::on_vote(instant now, const member_id& from, const msg& in)
{
    if (!may_vote(now)) {
        return; // it follows a leader, or a lease from before its restart may still run
    }
    if (in.term() > hard_.term()) {
        become_follower(now, in.term(), {});
    }
    const bool free = hard_.vote().empty() || hard_.vote() == from.str();
    const bool grant =
        in.term() == hard_.term() && free && role_ == role::follower && may_vote_for(now, in);
    if (grant) {
        hard_.set_vote(from.str());
        hard_.set_whole(true);
        save_hard_state();
        arm_election(now);
    }
    auto out = make(msg::vote_reply, hard_.term());
    out.set_ok(grant);
    send(from, std::move(out));
}

void raft_node::on_vote_reply(instant now, const member_id& from, const msg& in)
{
    if (in.term() > hard_.term()) {
        become_follower(now, in.term(), {});
        return;
    }
    const auto asked = in.kind() == msg::vote_reply ? role::candidate : role::pre_candidate;
    // A granted pre-vote carries the voter's own term, which may be older than ours.
    const bool current = in.kind() == msg::pre_vote_reply || in.term() == hard_.term();
    if (in.ok() && role_ == asked && current) {
        count_vote(now, from);
    }
}

} // namespace cedarpoint

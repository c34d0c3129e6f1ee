// Replication: appends, snapshots, commit, grants.

#include "consensus/raft_node_priv.h"

#include <algorithm>

namespace cedarpoint {

void raft_node::send(const member_id& to, msg message)
{
    message.set_storage(hard_.storage());
    out_.messages.push_back({to, std::move(message)});
}

void raft_node::broadcast_append(instant now)
{
    heartbeat_at_ = now + options_.heartbeat;
    for (const auto& it : members_.members()) {
        if (it.id() != self_.str()) {
            send_append(now, member_id{it.id()});
        }
    }
}

void raft_node::send_append(instant now, const member_id& to)
{
    auto [found, added] = progress_.try_emplace(to);
    auto& it = found->second;
    if (added) {
        it.next = last_index() + 1;
    }
    if (it.next <= snapshot_.index()) {
        send_snapshot(now, to, it);
        return;
    }
    auto out = make(msg::append, hard_.term());
    out.set_prev_index(it.next - 1);
    out.set_prev_term(term_at(it.next - 1).value_or(0));
    const auto end = std::min(last_index(), it.next + options_.max_batch_entries - 1);
    for (auto n = it.next; n <= end; ++n) {
        *out.add_entries() = entry_at(n);
    }
    if (!it.probing) {
        it.next = end + 1;
    }
    out.set_commit(commit_);
    out.set_leader_stamp(to_stamp(now));
    if (holds_lease(now)) {
        out.set_follower_stamp(it.follower_stamp);
    }
    send(to, std::move(out));
}

void raft_node::send_snapshot(instant now, const member_id& to, progress& it)
{
    if (it.snapshot_sent && now - *it.snapshot_sent < options_.snapshot_interval) {
        return;
    }
    it.snapshot_sent = now;
    auto out = make(msg::install, hard_.term());
    *out.mutable_snapshot() = snapshot_;
    out.set_commit(commit_);
    out.set_leader_stamp(to_stamp(now));
    send(to, std::move(out));
}

void raft_node::receive(instant now, const member_id& from, const msg& in)
{
    if (role_ == role::leader && !has_quorum_contact(now)) {
        become_follower(now, hard_.term(), {});
    }
    contact_of(from).heard = now;
    switch (in.kind()) {
    case msg::append:
        on_append(now, from, in);
        break;
    case msg::append_reply:
        on_append_reply(now, from, in);
        break;
    case msg::vote:
        on_vote(now, from, in);
        break;
    case msg::pre_vote:
        on_pre_vote(now, from, in);
        break;
    case msg::vote_reply:
    case msg::pre_vote_reply:
        on_vote_reply(now, from, in);
        break;
    case msg::install:
        on_install(now, from, in);
        break;
    default:
        break; // a kind that a newer version sends
    }
}

void raft_node::reply_append(instant now, const member_id& to, const msg& in, bool ok)
{
    auto out = make(msg::append_reply, hard_.term());
    out.set_ok(ok);
    out.set_leader_stamp(in.leader_stamp());
    out.set_follower_stamp(to_stamp(now));
    if (ok) {
        out.set_match(in.kind() == msg::install
                          ? in.snapshot().index()
                          : in.prev_index() + static_cast<std::uint64_t>(in.entries_size()));
    }
    else {
        out.set_prev_index(in.prev_index());
        out.set_match(std::min(last_index(), in.prev_index() == 0 ? 0 : in.prev_index() - 1));
    }
    send(to, std::move(out));
}

void raft_node::on_append(instant now, const member_id& from, const msg& in)
{
    if (in.term() < hard_.term()) {
        reply_append(now, from, in, false);
        return;
    }
    become_follower(now, in.term(), from);
    leader_contact_at_ = now;
    auto prev = in.prev_index();
    int skip = 0;
    if (prev < commit_) {
        // Committed entries always match; a delayed append may begin before the commit index.
        skip = static_cast<int>(std::min<std::uint64_t>(commit_ - prev, in.entries().size()));
        prev += static_cast<std::uint64_t>(skip);
    }
    else if (term_at(prev) != in.prev_term()) {
        reply_append(now, from, in, false);
        return;
    }
    for (int n = skip; n < in.entries_size(); ++n) {
        const auto& entry = in.entries(n);
        const auto own = term_at(entry.index());
        if (own == entry.term()) {
            continue;
        }
        if (own) {
            truncate_from(entry.index());
        }
        append_entry(entry);
    }
    const auto match = in.prev_index() + static_cast<std::uint64_t>(in.entries_size());
    advance_commit(std::min(in.commit(), std::max(match, commit_)));
    note_admission();
    note_grant(now, in);
    reply_append(now, from, in, true);
}

void raft_node::note_grant(instant now, const msg& in)
{
    const auto stamp = from_stamp(in.follower_stamp());
    const bool own = stamp >= started_ && stamp <= now; // not a stamp of an earlier process
    if (in.follower_stamp() != 0 && own && (!granted_ || stamp > *granted_)) {
        granted_ = stamp;
        granted_commit_ = in.commit();
    }
}

void raft_node::on_install(instant now, const member_id& from, const msg& in)
{
    if (in.term() < hard_.term()) {
        reply_append(now, from, in, false);
        return;
    }
    become_follower(now, in.term(), from);
    leader_contact_at_ = now;
    const auto& taken = in.snapshot();
    if (term_at(taken.index()) == taken.term()) {
        // The log already contains the snapshot's last entry; discarding the entries after it could
        // lose some that this member has acknowledged.
        advance_commit(std::max(commit_, taken.index()));
    }
    else if (taken.index() > commit_) {
        snapshot_ = in.snapshot();
        log_.clear();
        commit_ = snapshot_.index();
        out_.committed.clear();
        out_.batch.clear_entries();
        out_.batch.clear_truncate_from();
        out_.install = snapshot_;
        refresh_members();
    }
    reply_append(now, from, in, true);
}

bool raft_node::note_storage(progress& it, storage_id storage, instant sent)
{
    if (it.storage == storage) {
        return true;
    }
    if (it.acked && sent <= *it.acked) {
        return false; // a late answer of an earlier storage
    }
    // Nothing that another storage has acknowledged is known to be stored in this one.
    it.storage = storage;
    it.acked.reset();
    it.match = 0;
    it.probing = true;
    return true;
}

void raft_node::on_append_reply(instant now, const member_id& from, const msg& in)
{
    if (in.term() > hard_.term()) {
        become_follower(now, in.term(), {});
        return;
    }
    const auto found = progress_.find(from);
    if (role_ != role::leader || in.term() != hard_.term() || found == progress_.end()) {
        return;
    }
    auto& it = found->second;
    const auto sent = from_stamp(in.leader_stamp());
    if (!note_storage(it, storage_id{in.storage()}, sent)) {
        return;
    }
    it.acked = it.acked ? std::max(*it.acked, sent) : sent;
    it.follower_stamp = in.follower_stamp();
    if (!in.ok()) {
        // Only a refusal of the latest append changes `next`: if delayed or duplicate refusals also
        // triggered appends, the number of messages would multiply.
        const bool stale = it.probing ? in.prev_index() + 1 != it.next : in.prev_index() >= it.next;
        if (!stale) {
            it.probing = true;
            it.match = std::min(it.match, in.match()); // the follower may have lost its log
            it.next = std::max(it.match, std::min(in.match(), in.prev_index() - 1)) + 1;
            send_append(now, from);
        }
        return;
    }
    it.probing = false;
    it.match = std::max(it.match, in.match());
    it.next = std::max(it.next, it.match + 1);
    advance_leader_commit();
    if (it.next <= last_index()) {
        send_append(now, from);
    }
}

void raft_node::advance_leader_commit()
{
    std::vector<std::uint64_t> matched;
    for (const auto& it : members_.members()) {
        if (!it.voter()) {
            continue;
        }
        if (it.id() == self_.str()) {
            matched.push_back(last_index());
            continue;
        }
        const auto* answers = admitted_progress(it);
        matched.push_back(answers == nullptr ? 0 : answers->match);
    }
    std::sort(matched.begin(), matched.end(), std::greater<>{});
    if (matched.size() < quorum()) {
        return;
    }
    const auto to = matched[quorum() - 1];
    // Only an entry of the leader's own term may be committed by counting replicas; an entry of an
    // earlier term could still be overwritten by a later leader.
    if (to > commit_ && term_at(to) == hard_.term()) {
        advance_commit(to);
        if (members_index_ <= commit_ && !is_voter(self_)) {
            role_ = role::follower; // its own removal or demotion is committed
            leader_ = {};
        }
    }
}

void raft_node::advance_commit(std::uint64_t to)
{
    to = std::min(to, last_index());
    while (commit_ < to) {
        ++commit_;
        out_.committed.push_back(entry_at(commit_));
    }
}

std::optional<std::uint64_t> raft_node::propose(instant now, std::string command)
{
    // After a pause of the process this member may have been replaced as leader; entries that it
    // appended would then have an old term.
    if (!has_quorum_contact(now)) {
        return {};
    }
    wire::log_entry entry;
    entry.set_term(hard_.term());
    entry.set_index(last_index() + 1);
    entry.set_command(std::move(command));
    const auto index = entry.index();
    append_entry(std::move(entry));
    broadcast_append(now);
    advance_leader_commit();
    return index;
}

void raft_node::compact(std::uint64_t index, std::string state)
{
    if (index <= snapshot_.index() || index > commit_) {
        return;
    }
    wire::log_snapshot next;
    next.set_index(index);
    next.set_term(term_at(index).value_or(0));
    next.set_state(std::move(state));
    *next.mutable_members() = snapshot_.index() > 0 ? snapshot_.members() : bootstrap_;
    while (!log_.empty() && log_.front().index() <= index) {
        if (log_.front().has_members()) {
            *next.mutable_members() = log_.front().members();
        }
        log_.pop_front();
    }
    snapshot_ = std::move(next);
}

} // namespace cedarpoint

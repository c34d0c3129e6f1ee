#include "cedarpoint/consensus/raft_node.h"

#include <algorithm>
#include <cassert>

namespace cedarpoint {
namespace {

using msg = wire::raft_message;

msg make(msg::kind_t kind, std::uint64_t term)
{
    msg out;
    out.set_kind(kind);
    out.set_term(term);
    return out;
}

std::int64_t to_stamp(instant it)
{
    return it.time_since_epoch().count();
}

instant from_stamp(std::int64_t it)
{
    return instant{duration{it}};
}

} // namespace

raft_node::raft_node(instant now, member_id self, const wire::membership& bootstrap,
                     raft_state state, raft_options options, std::uint64_t seed)
    : self_{std::move(self)}, options_{options}, random_{seed}, hard_{std::move(state.hard)},
      snapshot_{std::move(state.snapshot)}, log_{std::make_move_iterator(state.entries.begin()),
                                                 std::make_move_iterator(state.entries.end())},
      bootstrap_{bootstrap}, commit_{snapshot_.index()}, started_{now}, no_vote_until_{now}
{
    if (hard_.term() > 0) {
        no_vote_until_ = now + options_.election_timeout;
    }
    refresh_members();
    arm_election(now);
    const bool alone = members_.members_size() == 1 && is_voter(self_);
    if (alone) {
        election_at_ = now; // nobody else could be leading
        no_vote_until_ = now;
    }
}

// --- the log ------------------------------------------------------------------------------------

std::uint64_t raft_node::last_index() const
{
    return snapshot_.index() + log_.size();
}

std::uint64_t raft_node::last_term() const
{
    return log_.empty() ? snapshot_.term() : log_.back().term();
}

const wire::log_entry& raft_node::entry_at(std::uint64_t index) const
{
    assert(index > snapshot_.index() && index <= last_index());
    return log_[static_cast<std::size_t>(index - snapshot_.index() - 1)];
}

std::optional<std::uint64_t> raft_node::term_at(std::uint64_t index) const
{
    if (index == snapshot_.index()) {
        return snapshot_.term();
    }
    if (index < snapshot_.index() || index > last_index()) {
        return {};
    }
    return entry_at(index).term();
}

void raft_node::append_entry(wire::log_entry entry)
{
    assert(entry.index() == last_index() + 1);
    out_.has_batch = true;
    *out_.batch.add_entries() = entry;
    if (entry.has_members()) {
        members_ = entry.members();
        members_index_ = entry.index();
    }
    log_.push_back(std::move(entry));
}

void raft_node::truncate_from(std::uint64_t index)
{
    assert(index > commit_);
    log_.resize(static_cast<std::size_t>(index - snapshot_.index() - 1));
    auto& added = *out_.batch.mutable_entries();
    while (!added.empty() && added.rbegin()->index() >= index) {
        added.RemoveLast();
    }
    const auto earlier = out_.batch.truncate_from();
    out_.batch.set_truncate_from(earlier == 0 ? index : std::min(earlier, index));
    out_.has_batch = true;
    if (members_index_ >= index) {
        refresh_members();
    }
}

void raft_node::refresh_members()
{
    members_ = snapshot_.index() > 0 ? snapshot_.members() : bootstrap_;
    members_index_ = snapshot_.index();
    for (const auto& it : log_) {
        if (it.has_members()) {
            members_ = it.members();
            members_index_ = it.index();
        }
    }
}

void raft_node::save_hard_state()
{
    *out_.batch.mutable_state() = hard_;
    out_.has_batch = true;
}

raft_output raft_node::take_output()
{
    return std::exchange(out_, {});
}

wire::storage_batch raft_node::rest() const
{
    wire::storage_batch out;
    *out.mutable_state() = hard_;
    for (const auto& it : log_) {
        *out.add_entries() = it;
    }
    return out;
}

// --- members ------------------------------------------------------------------------------------

bool raft_node::is_voter(const member_id& it) const
{
    const auto& all = members_.members();
    return std::any_of(all.begin(), all.end(),
                       [&](const wire::member& e) { return e.id() == it.str() && e.voter(); });
}

std::size_t raft_node::quorum() const
{
    const auto& all = members_.members();
    const auto voters =
        std::count_if(all.begin(), all.end(), [](const auto& e) { return e.voter(); });
    return static_cast<std::size_t>(voters) / 2 + 1;
}

std::uint64_t raft_node::match_of(const member_id& it) const
{
    if (it == self_) {
        return last_index();
    }
    const auto found = progress_.find(it);
    return found == progress_.end() ? 0 : found->second.match;
}

std::optional<instant> raft_node::heard_from(const member_id& it) const
{
    const auto found = progress_.find(it);
    return found == progress_.end() ? std::nullopt : found->second.acked;
}

bool raft_node::change_membership(instant now, const member_id& member, bool present, bool voter)
{
    if (role_ != role::leader || members_index_ > commit_ || commit_ < term_start_) {
        return false;
    }
    wire::log_entry entry;
    entry.set_term(hard_.term());
    entry.set_index(last_index() + 1);
    for (const auto& it : members_.members()) {
        if (it.id() != member.str()) {
            *entry.mutable_members()->add_members() = it;
        }
    }
    if (present) {
        auto* it = entry.mutable_members()->add_members();
        it->set_id(member.str());
        it->set_voter(voter);
    }
    append_entry(std::move(entry));
    std::erase_if(progress_, [&](const auto& it) { return !present && it.first == member; });
    broadcast_append(now);
    advance_leader_commit();
    return true;
}

// --- time ---------------------------------------------------------------------------------------

void raft_node::arm_election(instant now)
{
    std::uniform_int_distribution<std::int64_t> spread(0, options_.election_timeout.count());
    election_at_ = now + options_.election_timeout + duration{spread(random_)};
}

void raft_node::tick(instant now)
{
    if (role_ == role::leader) {
        if (now - lease_basis(now) >= options_.election_timeout) {
            become_follower(now, hard_.term(), {}); // a quorum is out of reach
            return;
        }
        if (now >= heartbeat_at_) {
            broadcast_append(now);
        }
        return;
    }
    if (leader_heard_ && now - *leader_heard_ >= 2 * options_.election_timeout) {
        leader_ = {};
    }
    if (now >= election_at_) {
        arm_election(now);
        if (is_voter(self_) && (hard_.whole() || last_index() == 0)) {
            start_pre_vote(now);
        }
    }
}

instant raft_node::lease_basis(instant now) const
{
    std::vector<instant> acked;
    for (const auto& it : members_.members()) {
        if (!it.voter()) {
            continue;
        }
        if (it.id() == self_.str()) {
            acked.push_back(now);
            continue;
        }
        const auto found = progress_.find(member_id{it.id()});
        acked.push_back(found != progress_.end() && found->second.acked ? *found->second.acked
                                                                        : lead_since_);
    }
    std::sort(acked.begin(), acked.end(), std::greater<>{});
    return acked.size() < quorum() ? lead_since_ : acked[quorum() - 1];
}

bool raft_node::holds_lease(instant now) const
{
    if (role_ != role::leader || commit_ < term_start_) {
        return false;
    }
    return now < lease_basis(now) + options_.election_timeout - options_.drift;
}

std::optional<instant> raft_node::granted_at(instant now) const
{
    if (role_ == role::leader) {
        return holds_lease(now) ? std::optional{now} : std::nullopt;
    }
    return commit_ >= granted_commit_ ? granted_ : std::nullopt;
}

bool raft_node::may_vote_for(instant now, const msg& in) const
{
    if (!may_vote(now) || !is_up_to_date(in)) {
        return false;
    }
    // Without memory it may only help to begin a log that nobody remembers.
    return hard_.whole() || (in.last_index() == 0 && last_index() == 0);
}

std::size_t raft_node::election_quorum() const
{
    if (last_index() > 0) {
        return quorum();
    }
    const auto& all = members_.members();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& e) { return e.voter(); }));
}

void raft_node::note_whole(instant now, const msg& in)
{
    if (!hard_.whole() && in.commit() > 0 && commit_ >= in.commit()) {
        hard_.set_whole(true);
        save_hard_state();
        no_vote_until_ = now + options_.election_timeout; // a vote that it forgot may be on its way
    }
}

bool raft_node::may_vote(instant now) const
{
    const bool follows = leader_heard_ && now - *leader_heard_ < options_.election_timeout;
    return role_ != role::leader && !follows && now >= no_vote_until_;
}

// --- elections ----------------------------------------------------------------------------------

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
        return; // it follows a leader, or is bound by a lease that it upheld before a restart
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

// --- replication --------------------------------------------------------------------------------

void raft_node::send(const member_id& to, msg message)
{
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
        break; // of a newer version
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
    leader_heard_ = now;
    auto prev = in.prev_index();
    int skip = 0;
    if (prev < commit_) {
        // What is committed matches; a late message may begin before it.
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
    note_whole(now, in);
    note_grant(now, in);
    reply_append(now, from, in, true);
}

void raft_node::note_grant(instant now, const msg& in)
{
    const auto stamp = from_stamp(in.follower_stamp());
    const bool own = stamp >= started_ && stamp <= now; // not one of an earlier process
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
    leader_heard_ = now;
    const auto& taken = in.snapshot();
    if (term_at(taken.index()) == taken.term()) {
        // The log goes at least as far; dropping its tail could undo what this member vouched for.
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
    it.acked = it.acked ? std::max(*it.acked, sent) : sent;
    it.follower_stamp = in.follower_stamp();
    if (!in.ok()) {
        // Only the answer to the latest question moves it: late and doubled answers each asking
        // again would multiply.
        const bool stale = it.probing ? in.prev_index() + 1 != it.next : in.prev_index() >= it.next;
        if (!stale) {
            it.probing = true;
            it.match = std::min(it.match, in.match()); // it may have lost its log
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
        if (it.voter()) {
            matched.push_back(match_of(member_id{it.id()}));
        }
    }
    std::sort(matched.begin(), matched.end(), std::greater<>{});
    if (matched.size() < quorum()) {
        return;
    }
    const auto to = matched[quorum() - 1];
    // Only an entry of its own term proves that no other leader can undo it.
    if (to > commit_ && term_at(to) == hard_.term()) {
        advance_commit(to);
        if (members_index_ <= commit_ && !is_voter(self_)) {
            role_ = role::follower; // it has led its own removal to the end
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
    if (role_ != role::leader) {
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

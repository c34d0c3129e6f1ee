#include "consensus/raft_node_priv.h"

#include <algorithm>
#include <cassert>

namespace cedarpoint {
namespace {

/// At the first start of a system the first election begins after one heartbeat interval and a
/// random delay of up to the election timeout divided by this.
constexpr int first_start_delay_divisor = 2;
/// Daemons that restart at the same time are separated by a random delay of up to the election
/// timeout divided by this.
constexpr int restart_delay_divisor = 3;
/// A follower no longer reports a leader after this many extended election timeouts without an
/// append or snapshot from it.
constexpr int leader_silence_timeouts = 2;
/// A write that takes less than the election timeout divided by this does not count as slow.
constexpr int quick_write_divisor = 4;
/// The writes between the request for a vote and its arrival: the candidate's and the voter's.
constexpr int writes_per_vote = 2;
/// The upper limit of the extended election timeout, in election timeouts. It limits how long a log
/// with slow disks stays without a leader.
constexpr int max_extended_timeouts = 8;

} // namespace

raft_node::raft_node(instant now, member_id self, const wire::membership& bootstrap,
                     raft_state state, raft_options options, std::uint64_t seed)
    : self_{std::move(self)}, options_{options}, random_{seed}, hard_{std::move(state.hard)},
      snapshot_{std::move(state.snapshot)}, log_{std::make_move_iterator(state.entries.begin()),
                                                 std::make_move_iterator(state.entries.end())},
      bootstrap_{bootstrap}, commit_{snapshot_.index()}, started_{now}, no_vote_until_{now}
{
    advance_commit(hard_.commit());
    refresh_members();
    choose_storage(seed);
    reset_election_timer(now, options_.election_timeout);
    if (hard_.term() > 0) {
        // Before its restart this voter may have answered a leader whose lease has not expired yet.
        // After an election timeout that lease has expired unless a heartbeat arrived, so an
        // election may start.
        no_vote_until_ = now + options_.election_timeout;
        election_at_ = no_vote_until_ + short_delay();
    }
    if (is_first_start()) {
        // No leader can exist yet; only the start of the other voters has to be awaited.
        std::uniform_int_distribution<std::int64_t> spread(0, options_.election_timeout.count());
        election_at_ =
            now + options_.heartbeat + duration{spread(random_) / first_start_delay_divisor};
    }
    const bool alone = members_.members_size() == 1 && is_voter(self_);
    if (alone) {
        election_at_ = now; // no other member can lead
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
    if (out_.has_batch) {
        hard_.set_commit(commit_);
        *out_.batch.mutable_state() = hard_;
    }
    return std::exchange(out_, {});
}

wire::storage_batch raft_node::rest() const
{
    wire::storage_batch out;
    *out.mutable_state() = hard_;
    out.mutable_state()->set_commit(commit_);
    for (const auto& it : log_) {
        *out.add_entries() = it;
    }
    return out;
}

// --- members ------------------------------------------------------------------------------------

bool raft_node::is_member(const member_id& it) const
{
    const auto& all = members_.members();
    return std::any_of(all.begin(), all.end(), [&](const auto& e) { return e.id() == it.str(); });
}

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

std::optional<instant> raft_node::last_acked_send(const member_id& it) const
{
    const auto found = progress_.find(it);
    return found == progress_.end() ? std::nullopt : found->second.acked;
}

duration raft_node::time_since_acked_send(instant now, const member_id& it) const
{
    if (it == self_) {
        return {};
    }
    return now - last_acked_send(it).value_or(leader_since_);
}

bool raft_node::change_membership(instant now, const member_id& member, bool present, bool voter)
{
    if (role_ != role::leader || members_index_ > commit_ || commit_ < term_start_) {
        return false;
    }
    // A voter that lost its storage has to be demoted first: to replace the one storage by the
    // other would change two voters at once.
    if (present && voter && has_lost_storage(member)) {
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
        it->set_storage(static_cast<std::uint64_t>(latest_storage(member)));
    }
    append_entry(std::move(entry));
    std::erase_if(progress_, [&](const auto& it) { return !present && it.first == member; });
    broadcast_append(now);
    advance_leader_commit();
    return true;
}

// --- time ---------------------------------------------------------------------------------------

void raft_node::reset_election_timer(instant now, duration timeout)
{
    std::uniform_int_distribution<std::int64_t> spread(0, timeout.count());
    election_at_ = now + timeout + duration{spread(random_)};
}

void raft_node::note_write(instant now, duration took)
{
    latest_write_end_ = std::max(latest_write_end_, now);
    slowest_write_.add(now,
                       took < options_.election_timeout / quick_write_divisor ? duration{} : took);
}

duration raft_node::extended_election_timeout() const
{
    return std::min(options_.election_timeout +
                        writes_per_vote * slowest_write_.value().value_or(duration{}),
                    max_extended_timeouts * options_.election_timeout);
}

duration raft_node::short_delay()
{
    std::uniform_int_distribution<std::int64_t> spread(0, options_.election_timeout.count() /
                                                              restart_delay_divisor);
    return duration{spread(random_)};
}

void raft_node::tick(instant now)
{
    if (role_ == role::leader) {
        if (!has_quorum_contact(now)) {
            become_follower(now, hard_.term(), {}); // no quorum answers
            return;
        }
        if (now >= heartbeat_at_) {
            broadcast_append(now);
        }
        return;
    }
    if (leader_contact_at_ &&
        now - *leader_contact_at_ >= leader_silence_timeouts * extended_election_timeout()) {
        leader_ = {};
    }
    if (now >= election_at_) {
        // Without the extension: a pre-vote takes no write.
        reset_election_timer(now, options_.election_timeout);
        if (needs_all_votes() ? is_voter(self_) : is_admitted()) {
            start_pre_vote(now);
        }
    }
    else if (role_ == role::candidate && now >= vote_repeat_at_) {
        broadcast_vote(now, msg::vote, hard_.term());
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
        const auto* answers = admitted_progress(it);
        acked.push_back(answers != nullptr && answers->acked ? *answers->acked : leader_since_);
    }
    std::sort(acked.begin(), acked.end(), std::greater<>{});
    return acked.size() < quorum() ? leader_since_ : acked[quorum() - 1];
}

bool raft_node::has_quorum_contact(instant now) const
{
    return role_ == role::leader && now - lease_basis(now) < extended_election_timeout();
}

bool raft_node::holds_lease(instant now) const
{
    if (role_ != role::leader || commit_ < term_start_) {
        return false;
    }
    // The caller may have read the clock before a slow write.
    const auto latest = std::max(now, latest_write_end_);
    return latest < lease_basis(latest) + options_.election_timeout - options_.drift;
}

std::optional<instant> raft_node::granted_at(instant now) const
{
    if (role_ == role::leader) {
        return holds_lease(now) ? std::optional{now} : std::nullopt;
    }
    return commit_ >= granted_commit_ ? granted_ : std::nullopt;
}

bool raft_node::needs_all_votes() const
{
    return last_index() == 0 && options_.start == start_mode::unknown;
}

std::size_t raft_node::election_quorum() const
{
    if (!needs_all_votes()) {
        return quorum();
    }
    const auto& all = members_.members();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& e) { return e.voter(); }));
}

} // namespace cedarpoint

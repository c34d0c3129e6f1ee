#pragma once

#include "cedarpoint/consensus/election_status.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/recent_extreme.h"
#include "cedarpoint/core/time.h"
#include "control.pb.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {

/// What a member without any stored state may assume about earlier votes and entries.
enum class start_mode {
    unknown, ///< new, or its disk was lost: it helps to begin a log only if all voters take part
    first,   ///< the whole system starts for the first time: no member has voted or stored anything
    later    ///< the system has run before: it votes only after it has caught up with a leader
};

/// Times and bounds of one log.
struct raft_options {
    /// The shortest; each timeout is drawn from one to two times this. Control daemons of a fleet
    /// set a shorter one.
    duration election_timeout = milliseconds{1000};
    /// Between two appends of a leader to each member.
    duration heartbeat = milliseconds{200};
    /// Two daemons' clocks run apart by at most this over an election timeout.
    duration drift = milliseconds{100};
    /// Entries in one append.
    std::size_t max_batch_entries = 256;
    /// Between two sendings of the snapshot to the same follower.
    duration snapshot_interval = seconds{1};
    start_mode start = start_mode::unknown;
};

/// The stored state that a member starts from.
struct raft_state {
    wire::hard_state hard;
    wire::log_snapshot snapshot;          ///< index 0: none
    std::vector<wire::log_entry> entries; ///< after the snapshot
    [[nodiscard]] bool is_fresh() const
    {
        return hard.term() == 0 && snapshot.index() == 0 && entries.empty();
    }
};

/// A message and its receiver.
struct raft_envelope {
    member_id to;
    wire::raft_message message;
};

/// The output of a call, to be carried out in this order: make `batch` and `install` durable, send
/// the messages, apply the committed entries.
struct raft_output {
    wire::storage_batch batch;
    bool has_batch = false;
    std::optional<wire::log_snapshot> install; ///< replaces the log and the state machine
    std::vector<raft_envelope> messages;
    std::vector<wire::log_entry> committed;
};

/// One member of one replicated log: elections with pre-vote, replication, snapshots, membership
/// changes one at a time, leader lease and grants to followers.
/// Owns: the log after the last snapshot, the snapshot and the hard state, in memory.
/// Relies on: its owner to call `take_output` after each call and carry it out, and on clocks that
/// run apart by no more than `raft_options::drift`. No I/O; time is an argument.
class raft_node {
public:
    enum class role { follower, pre_candidate, candidate, leader };

    /// A member without any state may be new, or may have lost its disk with its votes and entries.
    /// So it does not vote until it has caught up with a leader; and the first leader of a log
    /// needs the votes of all voters, which proves that none of them has stored anything.
    /// `bootstrap` is the membership of a log without any entry.
    raft_node(instant now, member_id self, const wire::membership& bootstrap, raft_state state,
              raft_options options, std::uint64_t seed);

    void tick(instant now);
    /// A write of this member's state took so long; its elections wait for slower disks.
    void note_write(instant now, duration took);
    void receive(instant now, const member_id& from, const wire::raft_message& message);
    /// Appends a command; its index, or empty if this is not the leader.
    std::optional<std::uint64_t> propose(instant now, std::string command);
    /// Adds, promotes or removes one member. False while an earlier change is not committed.
    bool change_membership(instant now, const member_id& member, bool present, bool voter);
    /// Makes `state`, the state machine's at the applied entry `index`, the snapshot and drops the
    /// entries up to it.
    void compact(std::uint64_t index, std::string state);
    [[nodiscard]] raft_output take_output();

    [[nodiscard]] role at() const { return role_; }
    [[nodiscard]] bool is_leader() const { return role_ == role::leader; }
    /// The leader of the last append; empty if none is known or none sent one for two election
    /// timeouts.
    [[nodiscard]] const member_id& leader() const { return leader_; }
    [[nodiscard]] std::uint64_t term() const { return hard_.term(); }
    [[nodiscard]] std::uint64_t commit() const { return commit_; }
    [[nodiscard]] std::uint64_t last_index() const;
    [[nodiscard]] std::uint64_t first_index() const { return snapshot_.index() + 1; }
    /// True while no other leader can exist: reads here are current, and orders may be given.
    /// Needs an entry of its own term committed.
    [[nodiscard]] bool holds_lease(instant now) const;
    /// The latest time, by this member's clock, at which its applied state is known to have been
    /// the leader's; a leader under its lease: `now`. Empty: none. Targets from that state are
    /// valid until this plus the grant's lifetime.
    [[nodiscard]] std::optional<instant> granted_at(instant now) const;
    [[nodiscard]] const wire::membership& members() const { return members_; }
    [[nodiscard]] bool is_member(const member_id& it) const;
    [[nodiscard]] bool is_voter(const member_id& it) const;
    /// Leader: the last index known to be on the member; 0 if nothing is known.
    [[nodiscard]] std::uint64_t match_of(const member_id& it) const;
    /// Leader: the time since the sending of the last append that the member answered, or since the
    /// beginning of the term if it answered none.
    [[nodiscard]] duration silence_of(instant now, const member_id& it) const;
    /// Leader: when the last answered append was sent; empty if none was answered in this term.
    [[nodiscard]] std::optional<instant> heard_from(const member_id& it) const;
    [[nodiscard]] election_status elections(instant now) const;
    [[nodiscard]] const wire::log_snapshot& snapshot() const { return snapshot_; }
    /// Everything durable that is not in the snapshot.
    [[nodiscard]] wire::storage_batch rest() const;

private:
    struct progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        bool probing = true;          ///< the last matching index is unknown: one append at a time
        std::optional<instant> acked; ///< this clock at the sending of the latest answered append
        std::int64_t follower_stamp = 0;
        std::optional<instant> snapshot_sent;
    };

    void become_follower(instant now, std::uint64_t term, const member_id& leader);
    void start_pre_vote(instant now);
    void start_election(instant now);
    void become_leader(instant now);
    void arm_election(instant now);
    /// The election timeout, and longer while the disk is slow: a vote waits for two writes, and a
    /// leader is silent during one. Leases go by the election timeout itself.
    [[nodiscard]] duration patience() const;
    void count_vote(instant now, const member_id& from);

    void on_append(instant now, const member_id& from, const wire::raft_message& in);
    void on_append_reply(instant now, const member_id& from, const wire::raft_message& in);
    void on_vote(instant now, const member_id& from, const wire::raft_message& in);
    void on_pre_vote(instant now, const member_id& from, const wire::raft_message& in);
    void on_vote_reply(instant now, const member_id& from, const wire::raft_message& in);
    void on_install(instant now, const member_id& from, const wire::raft_message& in);
    void reply_append(instant now, const member_id& to, const wire::raft_message& in, bool ok);
    void note_grant(instant now, const wire::raft_message& in);

    void send(const member_id& to, wire::raft_message message);
    void send_append(instant now, const member_id& to);
    void send_snapshot(instant now, const member_id& to, progress& it);
    void broadcast_append(instant now);
    void broadcast_vote(wire::raft_message::kind_t kind, std::uint64_t term);
    void append_entry(wire::log_entry entry);
    void truncate_from(std::uint64_t index);
    void advance_commit(std::uint64_t to);
    void advance_leader_commit();
    void save_hard_state();
    [[nodiscard]] election_contact& contact_of(const member_id& it);
    void refresh_members();
    /// `none` if it may vote for anybody now; whatever the candidate.
    [[nodiscard]] vote_refusal why_no_vote(instant now) const;
    /// The same for this candidate, whatever its term.
    [[nodiscard]] vote_refusal why_no_vote_for(instant now, const wire::raft_message& in) const;
    [[nodiscard]] vote_refusal judge_vote(instant now, const member_id& from,
                                          const wire::raft_message& in) const;
    [[nodiscard]] std::size_t election_quorum() const;
    void note_whole(instant now, const wire::raft_message& in);
    [[nodiscard]] bool is_up_to_date(const wire::raft_message& in) const;
    [[nodiscard]] std::uint64_t last_term() const;
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    [[nodiscard]] std::size_t quorum() const;
    /// A random part of a third of the election timeout, to separate daemons that start together.
    duration short_delay();
    [[nodiscard]] instant lease_basis(instant now) const;
    /// True for a leader whose appends a quorum has answered within its patience.
    [[nodiscard]] bool is_upheld(instant now) const;
    [[nodiscard]] const wire::log_entry& entry_at(std::uint64_t index) const;

    member_id self_;
    raft_options options_;
    std::mt19937_64 random_;

    wire::hard_state hard_;
    wire::log_snapshot snapshot_;
    std::deque<wire::log_entry> log_;
    wire::membership members_;
    std::uint64_t members_index_ = 0;
    wire::membership bootstrap_;

    role role_ = role::follower;
    member_id leader_;
    std::uint64_t commit_ = 0;
    std::uint64_t term_start_ = 0; ///< leader: index of the first entry of its term
    std::set<member_id> votes_;
    std::map<member_id, election_contact> contacts_; ///< members only
    election_contact stranger_;                      ///< of all others
    std::map<member_id, progress> progress_;
    recent_maximum slowest_write_;
    instant election_at_;
    instant heartbeat_at_;
    instant lead_since_;
    std::optional<instant> leader_heard_;
    instant started_;
    instant no_vote_until_; ///< a lease from before this voter's restart may still run
    std::optional<instant> granted_;
    std::uint64_t granted_commit_ = 0;

    raft_output out_;
};

} // namespace cedarpoint

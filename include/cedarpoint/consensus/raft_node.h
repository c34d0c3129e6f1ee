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
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {

/// What a member without stored state may assume about its earlier votes and entries.
enum class start_mode {
    unknown, ///< new, or its disk was lost: it may elect a log's first leader only with all voters
    first,   ///< the whole system starts for the first time: no member has voted or stored anything
    later    ///< the system has run before: without stored state it waits to be admitted
};

/// Intervals and limits of one log.
struct raft_options {
    /// The minimum; each timeout is drawn at random between one and two times this value. The
    /// control daemons of a fleet set a shorter one.
    duration election_timeout = milliseconds{1000};
    /// The interval between a leader's appends to each member.
    duration heartbeat = milliseconds{200};
    /// The maximum clock drift between two daemons over an election timeout.
    duration drift = milliseconds{100};
    /// The maximum number of entries in one append.
    std::size_t max_batch_entries = 256;
    /// The minimum time between two transfers of the snapshot to the same follower.
    duration snapshot_interval = seconds{1};
    start_mode start = start_mode::unknown;
};

/// The stored state from which a member starts.
struct raft_state {
    wire::hard_state hard;
    wire::log_snapshot snapshot;          ///< index 0 if there is none
    std::vector<wire::log_entry> entries; ///< those after the snapshot
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

/// The output of a call. The owner must process it in this order: make `batch` and `install`
/// durable, send the messages, apply the committed entries.
struct raft_output {
    wire::storage_batch batch;
    bool has_batch = false;
    std::optional<wire::log_snapshot> install; ///< replaces the log and the state machine
    std::vector<raft_envelope> messages;
    std::vector<wire::log_entry> committed;
};

/// One member of one replicated log: elections with pre-vote, replication, snapshots, membership
/// changes one at a time, leader lease and grants to followers.
///
/// A voter is a daemon together with the storage with which it was admitted. A daemon that lost its
/// disk has another storage: its votes and acknowledgements count towards no quorum, as if the
/// voter were down, until the other voters have demoted it and then admitted the new storage. Both
/// are committed changes of one member, so a leader that has been replaced can't complete them.
/// Owns: the log after the last snapshot, the snapshot and the hard state, in memory.
/// Relies on: its owner, which calls `take_output` after each call and processes the output; clocks
/// that drift apart by at most `raft_options::drift`. Performs no I/O; time is an argument.
class raft_node {
public:
    enum class role { follower, pre_candidate, candidate, leader };

    /// A member without state may be new, or may have lost its disk and with it its votes and
    /// entries. It therefore takes a new storage id, which the log does not list. The exception is
    /// the first leader of a log, which needs the votes of all voters: they prove that none of them
    /// has stored anything, and its first entry lists their storage. `bootstrap` is the membership
    /// of a log that has no entries.
    raft_node(instant now, member_id self, const wire::membership& bootstrap, raft_state state,
              raft_options options, std::uint64_t seed);

    void tick(instant now);
    /// Records a write of this member's state, which ended at `now`; slow writes lengthen its
    /// election timeouts.
    void note_write(instant now, duration took);
    void receive(instant now, const member_id& from, const wire::raft_message& message);
    /// Appends a command. Returns its index; empty if this member is not the leader.
    std::optional<std::uint64_t> propose(instant now, std::string command);
    /// Adds, promotes, demotes or removes one member. Returns false if this member does not lead,
    /// has not committed an entry of its own term, an earlier change is not committed yet, or a
    /// voter that has lost its storage would be promoted before it is demoted.
    bool change_membership(instant now, const member_id& member, bool present, bool voter);
    /// Replaces the snapshot by `state`, the state machine's state after entry `index`, and removes
    /// the entries up to `index`.
    void compact(std::uint64_t index, std::string state);
    [[nodiscard]] raft_output take_output();

    [[nodiscard]] role at() const { return role_; }
    [[nodiscard]] bool is_leader() const { return role_ == role::leader; }
    /// Returns the sender of the latest append or snapshot; empty if no leader is known or none was
    /// received within two election timeouts.
    [[nodiscard]] const member_id& leader() const { return leader_; }
    [[nodiscard]] std::uint64_t term() const { return hard_.term(); }
    [[nodiscard]] std::uint64_t commit() const { return commit_; }
    [[nodiscard]] std::uint64_t last_index() const;
    [[nodiscard]] std::uint64_t first_index() const { return snapshot_.index() + 1; }
    /// Returns true while no other leader can exist: local reads are then current, and orders may
    /// be sent. Requires that an entry of this leader's own term is committed.
    [[nodiscard]] bool holds_lease(instant now) const;
    /// Returns the latest time, by this member's clock, at which its applied state is known to have
    /// been current at a leader that held its lease; `now` on such a leader itself; empty if there
    /// is none. Targets from that state are valid until this time plus the grant's lifetime.
    [[nodiscard]] std::optional<instant> granted_at(instant now) const;
    [[nodiscard]] const wire::membership& members() const { return members_; }
    [[nodiscard]] bool is_member(const member_id& it) const;
    [[nodiscard]] bool is_voter(const member_id& it) const;
    [[nodiscard]] storage_id own_storage() const { return storage_id{hard_.storage()}; }
    /// Returns true if this member is a voter with its present storage.
    [[nodiscard]] bool is_admitted() const;
    /// Leader only: returns true for a voter whose latest answer came from another storage than the
    /// one with which it was admitted.
    [[nodiscard]] bool has_lost_storage(const member_id& voter) const;
    /// Leader only: returns the last index known to be stored on the member; 0 if unknown.
    [[nodiscard]] std::uint64_t match_of(const member_id& it) const;
    /// Leader only: returns the time since it sent the latest append that the member answered, or
    /// since it became leader if the member answered none.
    [[nodiscard]] duration time_since_acked_send(instant now, const member_id& it) const;
    /// Leader only: returns when it sent the latest append that the member answered; empty if the
    /// member answered none in this term.
    [[nodiscard]] std::optional<instant> last_acked_send(const member_id& it) const;
    [[nodiscard]] election_status elections(instant now) const;
    [[nodiscard]] const wire::log_snapshot& snapshot() const { return snapshot_; }
    /// Returns the durable state that is not part of the snapshot: hard state and later entries.
    [[nodiscard]] wire::storage_batch rest() const;

private:
    struct progress {
        std::uint64_t next = 1;
        std::uint64_t match = 0;
        bool probing = true; ///< the last matching index is unknown; `next` does not advance
        std::optional<storage_id> storage; ///< of the latest answer, to which the rest belongs
        std::optional<instant> acked;      ///< when the latest answered append was sent
        std::int64_t follower_stamp = 0;
        std::optional<instant> snapshot_sent;
    };

    void become_follower(instant now, std::uint64_t term, const member_id& leader);
    void start_pre_vote(instant now);
    void start_election(instant now);
    void become_leader(instant now);
    /// Starts the next election after one to two times `timeout`, drawn at random.
    void reset_election_timer(instant now, duration timeout);
    /// Returns the election timeout, extended while the disk is slow: a vote takes two writes, and
    /// a leader sends nothing during a write. Leases use the election timeout without the
    /// extension.
    [[nodiscard]] duration extended_election_timeout() const;
    void count_vote(instant now, const member_id& from, storage_id storage);
    /// Returns true for an election of the first leader among members that may be new or may have
    /// lost their disks, which needs the votes of all.
    [[nodiscard]] bool needs_all_votes() const;
    /// Returns the storage with which the voter was admitted; empty if it is no voter.
    [[nodiscard]] std::optional<storage_id> admitted_storage(const member_id& voter) const;
    /// Leader only: returns the storage that the member answered with last; until it has answered,
    /// the one with which it was admitted.
    [[nodiscard]] storage_id latest_storage(const member_id& member) const;
    /// Returns the progress of a voter that answers with its admitted storage; null otherwise.
    [[nodiscard]] const progress* admitted_progress(const wire::member& voter) const;
    /// Returns true for a member that starts together with the whole system and has stored nothing.
    [[nodiscard]] bool is_first_start() const;
    /// Gives a member that starts without stored state a storage id.
    void choose_storage(std::uint64_t seed);
    /// Stores that a quorum has admitted this storage, once it has.
    void note_admission();

    void on_append(instant now, const member_id& from, const wire::raft_message& in);
    void on_append_reply(instant now, const member_id& from, const wire::raft_message& in);
    /// Records which storage answered an append that was sent at `sent`. Returns false if the
    /// answer is from a storage that has been replaced since.
    static bool note_storage(progress& it, storage_id storage, instant sent);
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
    /// Requests votes or pre-votes of the voters that have not granted theirs yet.
    void broadcast_vote(instant now, wire::raft_message::kind_t kind, std::uint64_t term);
    void append_entry(wire::log_entry entry);
    void truncate_from(std::uint64_t index);
    void advance_commit(std::uint64_t to);
    void advance_leader_commit();
    void save_hard_state();
    [[nodiscard]] election_contact& contact_of(const member_id& it);
    void refresh_members();
    /// Returns why this member refuses every candidate now; `none` if it does not.
    [[nodiscard]] vote_refusal refusal_for_all(instant now) const;
    /// Returns why this member refuses this candidate, without regard to terms; `none` if it does
    /// not.
    [[nodiscard]] vote_refusal refusal_for(instant now, const wire::raft_message& in) const;
    [[nodiscard]] vote_refusal evaluate_vote_request(instant now, const member_id& from,
                                                     const wire::raft_message& in) const;
    [[nodiscard]] std::size_t election_quorum() const;
    [[nodiscard]] bool is_up_to_date(const wire::raft_message& in) const;
    [[nodiscard]] std::uint64_t last_term() const;
    [[nodiscard]] std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    [[nodiscard]] std::size_t quorum() const;
    /// Returns a random delay of up to a third of the election timeout, which separates the
    /// elections of daemons that start at the same time.
    duration short_delay();
    [[nodiscard]] instant lease_basis(instant now) const;
    /// Returns true for a leader whose appends a quorum has answered within the extended election
    /// timeout.
    [[nodiscard]] bool has_quorum_contact(instant now) const;
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
    std::uint64_t term_start_ = 0; ///< on a leader: the index of the first entry of its term
    std::map<member_id, storage_id> votes_;          ///< the voters that granted one, by storage
    std::map<member_id, election_contact> contacts_; ///< of members only
    election_contact non_member_contact_;            ///< of all other senders together
    std::map<member_id, progress> progress_;
    recent_maximum slowest_write_;
    instant latest_write_end_;
    instant election_at_;
    instant vote_repeat_at_; ///< of a candidate; `instant::max()`: not before the next election
    instant heartbeat_at_;
    instant leader_since_;
    std::optional<instant> leader_contact_at_;
    instant started_;
    instant no_vote_until_; ///< until then a lease granted earlier may not have expired
    std::optional<instant> granted_;
    std::uint64_t granted_commit_ = 0;

    raft_output out_;
};

} // namespace cedarpoint

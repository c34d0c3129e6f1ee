#pragma once

#include "cedarpoint/consensus/raft_node.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/storage/log_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// The state machine of a log.
class replicated_state {
public:
    replicated_state() = default;
    replicated_state(const replicated_state&) = delete;
    replicated_state& operator=(const replicated_state&) = delete;
    virtual ~replicated_state() = default;

    /// Applies one command. The result is the answer for the proposer, if it is on this daemon.
    virtual std::string apply(const std::string& command) = 0;
    [[nodiscard]] virtual std::string save() const = 0;
    /// False if `bytes` are not a saved state; nothing is changed then.
    virtual bool restore(const std::string& bytes) = 0;
};

/// One daemon's replica of one log: it carries out the raft node's output on disk, network and
/// state machine. Entries and votes are durable before a message is sent or an entry applied.
///
/// While the disk refuses writes the replica stands still: what the raft node put out stays here
/// and is written again until it succeeds; meanwhile nothing is sent, answered or taken, as if the
/// process were paused. So it votes for and acknowledges nothing that is not durable, loses its
/// lease if it leads, and goes on when a write works. Owns: the raft node and the log store. Relies
/// on: the state machine and the sender, which it refers to, and on `tick` at short intervals.
class replicated_log {
public:
    /// Called with the answer once the command is applied; empty if it is unknown whether it will
    /// be.
    using answer_handler = std::function<void(std::optional<std::string>)>;
    using sender = std::function<void(const member_id&, const wire::raft_message&)>;

    struct options {
        member_id self;
        wire::membership bootstrap;
        raft_options raft;
        std::uint64_t seed = 1;
        /// Read before and after each write to the disk; empty: writes count as taking no time.
        std::function<instant()> clock;
        /// With a disk: a snapshot is taken once the log file is larger than this (4 MiB).
        std::uint64_t snapshot_bytes = 4 << 20;
        /// Without a disk: a snapshot is taken once more entries than this came after the last one.
        std::uint64_t snapshot_entries = 20'000;
    };

    /// `files` null: nothing outlives the process. Null with `why` if the folder is damaged or
    /// can't be read.
    static std::unique_ptr<replicated_log> open(instant now, options options, file_system* files,
                                                const std::string& folder, replicated_state& state,
                                                sender send, reason& why);

    void tick(instant now);
    void receive(instant now, const member_id& from, const wire::raft_message& message);
    /// False if this is not the leader; then `done` is not called.
    bool propose(instant now, std::string command, answer_handler done);
    /// See raft_node::change_membership.
    bool change_membership(instant now, const member_id& member, bool present, bool voter);

    [[nodiscard]] const raft_node& raft() const { return raft_; }
    /// Set once the replica can't go on, also later: the process should end. Empty: no failure.
    [[nodiscard]] const std::optional<reason>& failure() const { return failure_; }
    /// Why the disk refuses writes at present; empty while it takes them.
    [[nodiscard]] const std::optional<reason>& refused_write() const { return refused_write_; }
    /// Index of the last applied entry; 0 without any.
    [[nodiscard]] std::uint64_t applied() const { return applied_; }

private:
    struct pending {
        std::uint64_t term = 0;
        answer_handler done;
    };

    replicated_log(instant now, options options, raft_state loaded,
                   std::unique_ptr<log_store> store, replicated_state& state, sender send);
    void carry_out();
    /// Makes the output durable, then sends its messages and applies its entries. False if it was
    /// held back: the disk refused it.
    bool carry_out(const raft_output& out);
    /// False while the output that is held back can't be written.
    bool write_held_back(instant now);
    bool persist(const raft_output& out);
    /// The same, and tells the raft node how long the disk took.
    bool persist_timed(const raft_output& out);
    bool rewrite(const wire::log_snapshot& snapshot);
    [[nodiscard]] bool is_stopped() const { return failure_ || held_back_; }
    void apply(const wire::log_entry& entry);
    void drop_pending(std::uint64_t below_term);
    void compact_if_grown(instant now);

    options options_;
    raft_node raft_;
    std::unique_ptr<log_store> store_;
    replicated_state& state_;
    sender send_;
    std::map<std::uint64_t, pending> pending_;
    std::uint64_t applied_ = 0;
    std::optional<reason> failure_;
    std::optional<reason> refused_write_;
    std::optional<raft_output> held_back_; ///< output of the raft node that the disk refused
    instant write_again_at_;
    bool snapshot_unsaved_ = false; ///< the raft node's snapshot is later than the one on disk
    instant compact_again_at_;
    bool busy_ = false;
};

} // namespace cedarpoint

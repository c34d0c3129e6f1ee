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

    /// Applies one command. The result goes to the proposer if it is on this daemon.
    virtual std::string apply(const std::string& command) = 0;
    [[nodiscard]] virtual std::string save() const = 0;
    /// Returns false and changes nothing if `bytes` are not a saved state.
    virtual bool restore(const std::string& bytes) = 0;
};

/// One daemon's replica of one log. It applies the output of the raft node to the disk, the network
/// and the state machine. Entries and votes are durable before a message is sent or an entry
/// applied.
///
/// While writes to the disk fail, the replica stops: it keeps the output of the raft node and
/// retries the write until it succeeds. Until then it sends nothing and ignores messages and
/// proposals, as if the process were paused. It thus never votes or acknowledges entries before
/// they are durable, loses its lease if it leads, and resumes after a successful write.
/// Owns: the raft node and the log store. Relies on: the state machine, which it refers to; the
/// sender; calls of `tick` at short intervals.
class replicated_log {
public:
    /// Called with the answer once the command is applied, or with an empty one if it is unknown
    /// whether the command will be applied.
    using answer_handler = std::function<void(std::optional<std::string>)>;
    using sender = std::function<void(const member_id&, const wire::raft_message&)>;

    struct options {
        member_id self;
        wire::membership bootstrap;
        raft_options raft;
        std::uint64_t seed = 1;
        /// Called before and after each disk write to measure it; if empty, writes are not
        /// measured.
        std::function<instant()> clock;
        /// With a disk: the size of the log file, in bytes, above which a snapshot is taken (4
        /// MiB).
        std::uint64_t snapshot_bytes = 4 << 20;
        /// Without a disk: the number of entries since the last snapshot above which one is taken.
        std::uint64_t snapshot_entries = 20'000;
    };

    /// Opens the replica. If `files` is null, it stores nothing durably. Returns null and sets
    /// `why` if the folder is damaged or can't be read.
    static std::unique_ptr<replicated_log> open(instant now, options options, file_system* files,
                                                const std::string& folder, replicated_state& state,
                                                sender send, reason& why);

    void tick(instant now);
    void receive(instant now, const member_id& from, const wire::raft_message& message);
    /// Returns false, without calling `done`, if this replica does not lead or has stopped.
    bool propose(instant now, std::string command, answer_handler done);
    /// See raft_node::change_membership.
    bool change_membership(instant now, const member_id& member, bool present, bool voter);

    [[nodiscard]] const raft_node& raft() const { return raft_; }
    /// Returns the members with which the log begins, as configured.
    [[nodiscard]] const wire::membership& bootstrap() const { return options_.bootstrap; }
    /// Returns the permanent failure after which the process should end; empty if there is none.
    [[nodiscard]] const std::optional<reason>& failure() const { return failure_; }
    /// Returns why the latest disk write failed; empty if it succeeded.
    [[nodiscard]] const std::optional<reason>& write_failure() const { return write_failure_; }
    /// Returns the index of the last applied entry; 0 if there is none.
    [[nodiscard]] std::uint64_t applied() const { return applied_; }

private:
    struct pending {
        std::uint64_t term = 0;
        answer_handler done;
    };

    replicated_log(instant now, options options, raft_state loaded,
                   std::unique_ptr<log_store> store, replicated_state& state, sender send);
    void process_output();
    /// Makes the output durable, then sends its messages and applies its entries. Returns false and
    /// keeps the output for a retry if the write failed.
    bool process_output(const raft_output& out);
    /// Retries the write of the output that was kept. Returns false while some is still unwritten.
    bool retry_unwritten_output(instant now);
    bool persist(const raft_output& out);
    /// Calls `persist` and reports the duration of the write to the raft node.
    bool persist_timed(const raft_output& out);
    bool rewrite(const wire::log_snapshot& snapshot);
    [[nodiscard]] bool is_stopped() const { return failure_ || unwritten_output_; }
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
    std::optional<reason> write_failure_;
    std::optional<raft_output> unwritten_output_; ///< output whose write failed
    instant write_retry_at_;
    bool snapshot_unsaved_ = false; ///< the raft node's snapshot is newer than the stored one
    instant compaction_retry_at_;
    bool processing_output_ = false;
};

} // namespace cedarpoint

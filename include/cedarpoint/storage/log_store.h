#pragma once

#include "cedarpoint/consensus/raft_node.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/storage/file_system.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// The durable part of one replicated log: a folder with the files "snapshot" and "log", both
/// versioned and checksummed. `open` truncates a torn last frame, which was never acknowledged;
/// damage before an intact frame is an error.
/// Owns: the two files. Relies on: a file_system that syncs before it returns.
class log_store {
public:
    /// Opens or creates the folder and reads its content into `state`. What was read is durable: a
    /// process that was killed may have written it without a sync. Returns null and sets `why` if a
    /// file is damaged or an operation fails.
    static std::unique_ptr<log_store> open(file_system& files, const std::string& folder,
                                           raft_state& state, reason& why);

    /// Appends one batch and syncs it. It may be called again after a failure, which leaves the
    /// earlier content of the file, possibly followed by a torn frame.
    bool append(const wire::storage_batch& batch, reason& why);
    /// Replaces the snapshot, then the log by `rest`: the hard state and the entries after the
    /// snapshot. A failure loses no data, because the log is replaced only after the new snapshot
    /// is durable.
    bool save_snapshot(const wire::log_snapshot& snapshot, const wire::storage_batch& rest,
                       reason& why);
    /// Returns the size of the log file in bytes; the owner takes a snapshot when it is large.
    [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }

private:
    log_store(file_system& files, const std::string& folder);
    bool read_snapshot(raft_state& state, reason& why);
    bool read_log(raft_state& state, reason& why);
    /// Replaces the log by the hard state and the entries after the snapshot.
    bool replace_log(const wire::storage_batch& rest, reason& why);
    /// Makes the log's name durable, and finds the length of the file that it refers to.
    bool settle_replacement(reason& why);

    file_system& files_;
    std::string folder_;
    std::string snapshot_path_;
    std::string log_path_;
    std::uint64_t log_bytes_ = 0;
    bool has_torn_tail_ = false;
    /// The latest replacement of the log failed: its name may refer to the new file or the old one,
    /// and may not be durable.
    bool replacement_failed_ = false;
};

} // namespace cedarpoint

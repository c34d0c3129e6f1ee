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
/// versioned and checksummed. A torn last frame is truncated at opening, as it was never
/// acknowledged; damage before the last frame is an error.
/// Owns: the two files. Relies on: a file_system that syncs before it returns.
class log_store {
public:
    /// Opens or makes the folder and reads its content into `state`. Null with `why` on damage or a
    /// failed operation.
    static std::unique_ptr<log_store> open(file_system& files, const std::string& folder,
                                           raft_state& state, reason& why);

    /// Appends one batch and syncs it. After a failure it may be called again: the file then holds
    /// what it held before, and perhaps a torn tail.
    bool append(const wire::storage_batch& batch, reason& why);
    /// Replaces the snapshot, then the log by `rest`: the hard state and the entries after the
    /// snapshot. A failure loses nothing: the earlier files stand for the same or more.
    bool save_snapshot(const wire::log_snapshot& snapshot, const wire::storage_batch& rest,
                       reason& why);
    /// Size of the log file in bytes; the owner takes a snapshot when it is large.
    [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }

private:
    log_store(file_system& files, const std::string& folder);
    bool read_snapshot(raft_state& state, reason& why);
    bool read_log(raft_state& state, reason& why);

    file_system& files_;
    std::string snapshot_path_;
    std::string log_path_;
    std::uint64_t log_bytes_ = 0;
    bool has_torn_tail_ = false;
};

} // namespace cedarpoint

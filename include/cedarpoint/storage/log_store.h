#pragma once

#include "cedarpoint/consensus/raft_node.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/storage/file_system.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// One log's folder: "snapshot" and "log", both versioned and checksummed. A torn last frame is
/// cut off at opening: it was never vouched for. Damage before the last frame is refused.
class log_store {
public:
    /// Opens or makes the folder and reads what it holds into `state`. Empty with `why` on damage.
    static std::unique_ptr<log_store> open(file_system& files, const std::string& folder,
                                           raft_state& state, reason& why);

    /// Appends one batch and syncs it.
    bool append(const wire::storage_batch& batch, reason& why);
    /// Writes a snapshot, then a log that holds only `hard` and what comes after the snapshot.
    bool save_snapshot(const wire::log_snapshot& snapshot, const wire::storage_batch& rest,
                       reason& why);
    /// Bytes of the log file; the owner takes a snapshot when this has grown.
    [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }

private:
    log_store(file_system& files, const std::string& folder);
    bool read_snapshot(raft_state& state, reason& why);
    bool read_log(raft_state& state, reason& why);

    file_system& files_;
    std::string snapshot_path_;
    std::string log_path_;
    std::uint64_t log_bytes_ = 0;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/storage/file_system.h"

#include <map>
#include <optional>
#include <string>

namespace cedarpoint::testing_support {

/// In-memory file system with injected write failures, including partial appends, and with losses
/// of power, after which a file holds what its last sync covered, and a name the file that it had
/// when its folder was synced.
class memory_files final : public file_system {
public:
    std::optional<std::string> read(const std::string& path, reason& why) override;
    bool append_synced(const std::string& path, const std::string& bytes, reason& why) override;
    bool replace(const std::string& path, const std::string& bytes, reason& why) override;
    bool truncate(const std::string& path, std::uint64_t size, reason& why) override;
    bool make_folder(const std::string& path, reason& why) override;

    /// Makes the write after the next `n` ones fail, and all later ones until `work_again`. If it
    /// is an append, its first `kept_bytes` bytes are written.
    void fail_write(int n, std::size_t kept_bytes);
    /// Makes the write after the next `n` ones take effect without being synced, and return false.
    /// It is what a process leaves that is killed in a sync.
    void fail_sync(int n) { writes_before_unsynced_ = n; }
    /// Reverts everything that was not synced.
    void lose_power();
    void work_again() { writes_before_failure_ = -1; }
    void wipe();
    std::map<std::string, std::string>& files() { return files_; }
    [[nodiscard]] int writes() const { return writes_; }

private:
    /// Counts a write. Returns whether it must fail; `why` then tells the reason.
    bool inject_failure(reason& why, const std::string& path);
    /// Returns whether the present write must not be synced; `why` then tells the reason.
    bool inject_failed_sync(reason& why, const std::string& path);

    std::map<std::string, std::string> files_;
    int writes_before_failure_ = -1; ///< negative: no failure is injected
    std::size_t kept_bytes_ = 0;
    int writes_before_unsynced_ = -1; ///< negative: no sync fails
    int writes_ = 0;
    std::map<std::string, std::string> synced_; ///< content of each file as of its last sync
    /// What each name refers to after a loss of power, if it was replaced since its folder was
    /// synced; empty if nothing.
    std::map<std::string, std::optional<std::string>> earlier_;
};

} // namespace cedarpoint::testing_support

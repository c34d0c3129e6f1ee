#pragma once

#include "cedarpoint/storage/file_system.h"

#include <map>
#include <string>

namespace cedarpoint::testing_support {

/// In-memory file system with injected write failures, including partial appends.
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
    void work_again() { writes_before_failure_ = -1; }
    void wipe() { files_.clear(); }
    std::map<std::string, std::string>& files() { return files_; }
    [[nodiscard]] int writes() const { return writes_; }

private:
    /// Counts a write. Returns whether it must fail; `why` then tells the reason.
    bool inject_failure(reason& why, const std::string& path);

    std::map<std::string, std::string> files_;
    int writes_before_failure_ = -1; ///< negative: no failure is injected
    std::size_t kept_bytes_ = 0;
    int writes_ = 0;
};

} // namespace cedarpoint::testing_support

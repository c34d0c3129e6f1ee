#pragma once

#include "cedarpoint/core/reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cedarpoint {

/// The few file operations that durable state needs, so that tests can tear and fail them.
/// Every operation that returns false has filled `why`.
class file_system {
public:
    file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;
    virtual ~file_system() = default;

    /// The whole file; an empty optional with an empty step in `why` means that there is none.
    virtual std::optional<std::string> read(const std::string& path, reason& why) = 0;
    /// Appends and syncs: once this returns true, the bytes last.
    virtual bool append_synced(const std::string& path, const std::string& bytes, reason& why) = 0;
    /// Replaces the file as a whole: written beside it, synced, renamed, folder synced.
    virtual bool replace(const std::string& path, const std::string& bytes, reason& why) = 0;
    /// Cuts the file to `size` bytes and syncs.
    virtual bool truncate(const std::string& path, std::uint64_t size, reason& why) = 0;
    virtual bool make_folder(const std::string& path, reason& why) = 0;
};

} // namespace cedarpoint

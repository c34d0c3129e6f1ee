#pragma once

#include "cedarpoint/core/reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cedarpoint {

/// The file operations that durable state needs. It is an interface so that tests can make
/// operations fail or leave torn writes. An operation that returns false has set `why`.
class file_system {
public:
    file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;
    virtual ~file_system() = default;

    /// Returns the content of the file. Returns empty with an empty `why.step` if the file does not
    /// exist, and empty with a step in `why` if the operation failed.
    virtual std::optional<std::string> read(const std::string& path, reason& why) = 0;
    /// Appends `bytes` and syncs. They are durable once this returns true.
    virtual bool append_synced(const std::string& path, const std::string& bytes, reason& why) = 0;
    /// Replaces the file atomically: writes and syncs a new file in the same folder, renames it and
    /// syncs the folder.
    virtual bool replace(const std::string& path, const std::string& bytes, reason& why) = 0;
    /// Truncates the file to `size` bytes and syncs.
    virtual bool truncate(const std::string& path, std::uint64_t size, reason& why) = 0;
    /// Creates the folder unless it exists, and makes the names in it durable.
    virtual bool make_folder(const std::string& path, reason& why) = 0;
};

} // namespace cedarpoint

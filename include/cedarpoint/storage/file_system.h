#pragma once

#include "cedarpoint/core/reason.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cedarpoint {

/// The file operations that durable state needs; an interface, so that tests can fail them or leave
/// torn writes. Each operation that returns false has filled `why`.
class file_system {
public:
    file_system() = default;
    file_system(const file_system&) = delete;
    file_system& operator=(const file_system&) = delete;
    virtual ~file_system() = default;

    /// The whole file. Empty with an empty `why.step`: there is no such file; empty with a step:
    /// it failed.
    virtual std::optional<std::string> read(const std::string& path, reason& why) = 0;
    /// Appends and syncs: once this returns true, the bytes are durable.
    virtual bool append_synced(const std::string& path, const std::string& bytes, reason& why) = 0;
    /// Replaces the file as a whole: written beside it, synced, renamed, folder synced.
    virtual bool replace(const std::string& path, const std::string& bytes, reason& why) = 0;
    /// Cuts the file to `size` bytes and syncs.
    virtual bool truncate(const std::string& path, std::uint64_t size, reason& why) = 0;
    virtual bool make_folder(const std::string& path, reason& why) = 0;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/storage/file_system.h"

namespace cedarpoint {

/// The files of the operating system. Each change is synced before the operation returns.
class posix_file_system final : public file_system {
public:
    std::optional<std::string> read(const std::string& path, reason& why) override;
    bool append_synced(const std::string& path, const std::string& bytes, reason& why) override;
    bool replace(const std::string& path, const std::string& bytes, reason& why) override;
    bool truncate(const std::string& path, std::uint64_t size, reason& why) override;
    bool make_folder(const std::string& path, reason& why) override;
};

} // namespace cedarpoint

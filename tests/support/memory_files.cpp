#include "support/memory_files.h"

namespace cedarpoint::testing_support {

std::optional<std::string> memory_files::read(const std::string& path, reason& why)
{
    const auto it = files_.find(path);
    if (it == files_.end()) {
        why = {};
        return {};
    }
    return it->second;
}

void memory_files::fail_write(int n, std::size_t kept_bytes)
{
    writes_before_failure_ = n;
    kept_bytes_ = kept_bytes;
}

bool memory_files::inject_failure(reason& why, const std::string& path)
{
    ++writes_;
    if (writes_before_failure_ < 0 || writes_before_failure_-- > 0) {
        return false;
    }
    writes_before_failure_ = 0; // a failed disk keeps failing
    why = {"write", path, "the disk has failed"};
    return true;
}

bool memory_files::append_synced(const std::string& path, const std::string& bytes, reason& why)
{
    if (inject_failure(why, path)) {
        files_[path] += bytes.substr(0, kept_bytes_);
        kept_bytes_ = 0;
        return false;
    }
    files_[path] += bytes;
    return true;
}

bool memory_files::replace(const std::string& path, const std::string& bytes, reason& why)
{
    if (inject_failure(why, path)) {
        return false;
    }
    files_[path] = bytes;
    return true;
}

bool memory_files::truncate(const std::string& path, std::uint64_t size, reason& why)
{
    if (inject_failure(why, path)) {
        return false;
    }
    files_[path].resize(size);
    return true;
}

bool memory_files::make_folder(const std::string& /*path*/, reason& /*why*/)
{
    return true;
}

} // namespace cedarpoint::testing_support

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

void memory_files::fail_write(int n, std::size_t kept)
{
    fail_in_ = n;
    kept_ = kept;
}

bool memory_files::fails(reason& why, const std::string& path)
{
    ++writes_;
    if (fail_in_ < 0 || fail_in_-- > 0) {
        return false;
    }
    fail_in_ = 0; // a failed disk keeps failing
    why = {"write", path, "the disk has failed"};
    return true;
}

bool memory_files::append_synced(const std::string& path, const std::string& bytes, reason& why)
{
    if (fails(why, path)) {
        files_[path] += bytes.substr(0, kept_);
        kept_ = 0;
        return false;
    }
    files_[path] += bytes;
    return true;
}

bool memory_files::replace(const std::string& path, const std::string& bytes, reason& why)
{
    if (fails(why, path)) {
        return false;
    }
    files_[path] = bytes;
    return true;
}

bool memory_files::truncate(const std::string& path, std::uint64_t size, reason& why)
{
    if (fails(why, path)) {
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

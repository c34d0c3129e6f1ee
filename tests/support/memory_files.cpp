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

bool memory_files::inject_failed_sync(reason& why, const std::string& path)
{
    if (writes_before_unsynced_ < 0 || writes_before_unsynced_-- > 0) {
        return false;
    }
    why = {"sync", path, "the disk has failed"};
    return true;
}

void memory_files::lose_power()
{
    files_ = synced_;
    for (const auto& [path, content] : earlier_) {
        if (content) {
            files_[path] = *content;
        }
        else {
            files_.erase(path);
        }
    }
    synced_ = files_;
    earlier_.clear();
}

void memory_files::wipe()
{
    files_.clear();
    synced_.clear();
    earlier_.clear();
}

bool memory_files::append_synced(const std::string& path, const std::string& bytes, reason& why)
{
    if (inject_failure(why, path)) {
        files_[path] += bytes.substr(0, kept_bytes_);
        kept_bytes_ = 0;
        return false;
    }
    files_[path] += bytes;
    if (inject_failed_sync(why, path)) {
        return false;
    }
    synced_[path] = files_[path];
    return true;
}

bool memory_files::replace(const std::string& path, const std::string& bytes, reason& why)
{
    if (inject_failure(why, path)) {
        return false;
    }
    const auto before = synced_.find(path);
    const auto replaced = before == synced_.end() ? std::nullopt : std::optional{before->second};
    files_[path] = bytes;
    synced_[path] = bytes;
    if (inject_failed_sync(why, path)) {
        earlier_.try_emplace(path, replaced);
        return false;
    }
    earlier_.clear();
    return true;
}

bool memory_files::truncate(const std::string& path, std::uint64_t size, reason& why)
{
    if (inject_failure(why, path)) {
        return false;
    }
    files_[path].resize(size);
    synced_[path] = files_[path];
    return true;
}

bool memory_files::make_folder(const std::string& /*path*/, reason& /*why*/)
{
    earlier_.clear();
    return true;
}

} // namespace cedarpoint::testing_support

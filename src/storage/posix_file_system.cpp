#include "storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>

namespace cedarpoint {
namespace {

constexpr mode_t file_mode = 0600; // the daemon's own user only
/// The number of bytes requested by each read(2).
constexpr std::size_t read_block = 65536;

/// A file descriptor, closed by its destructor.
class descriptor {
public:
    descriptor(const std::string& path, int flags)
        : fd_{::open(path.c_str(), flags | O_CLOEXEC, file_mode)}
    {
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor()
    {
        if (fd_ >= 0) {
            ::close(fd_);
        }
    }
    [[nodiscard]] int get() const { return fd_; }
    [[nodiscard]] bool is_open() const { return fd_ >= 0; }

private:
    int fd_;
};

bool fail(reason& why, const char* step, const std::string& path)
{
    why = {step, path, std::generic_category().message(errno)};
    return false;
}

bool write_all(int fd, const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto n = ::write(fd, bytes.data() + done, bytes.size() - done);
        if (n < 0 && errno != EINTR) {
            return false;
        }
        done += n > 0 ? static_cast<std::size_t>(n) : 0;
    }
    return true;
}

bool sync_folder(const std::string& folder, reason& why)
{
    const descriptor it{folder.empty() ? "." : folder, O_RDONLY | O_DIRECTORY};
    return (it.is_open() && ::fsync(it.get()) == 0) || fail(why, "sync folder", folder);
}

bool sync_folder_of(const std::string& path, reason& why)
{
    return sync_folder(std::filesystem::path{path}.parent_path().string(), why);
}

} // namespace

std::optional<std::string> posix_file_system::read(const std::string& path, reason& why)
{
    const descriptor it{path, O_RDONLY};
    if (!it.is_open()) {
        if (errno == ENOENT) {
            why = {};
        }
        else {
            fail(why, "open", path);
        }
        return {};
    }
    std::string out;
    std::array<char, read_block> buf{};
    for (;;) {
        const auto n = ::read(it.get(), buf.data(), buf.size());
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            fail(why, "read", path);
            return {};
        }
        if (n == 0) {
            return out;
        }
        out.append(buf.data(), static_cast<std::size_t>(n));
    }
}

bool posix_file_system::append_synced(const std::string& path, const std::string& bytes,
                                      reason& why)
{
    const descriptor it{path, O_WRONLY | O_APPEND | O_CREAT};
    if (!it.is_open()) {
        return fail(why, "open", path);
    }
    if (!write_all(it.get(), bytes)) {
        return fail(why, "append", path);
    }
    return ::fdatasync(it.get()) == 0 || fail(why, "sync", path);
}

bool posix_file_system::replace(const std::string& path, const std::string& bytes, reason& why)
{
    const auto temporary = path + ".new";
    {
        const descriptor it{temporary, O_WRONLY | O_TRUNC | O_CREAT};
        if (!it.is_open()) {
            return fail(why, "open", temporary);
        }
        if (!write_all(it.get(), bytes)) {
            return fail(why, "write", temporary);
        }
        if (::fsync(it.get()) != 0) {
            return fail(why, "sync", temporary);
        }
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0) {
        return fail(why, "rename", path);
    }
    return sync_folder_of(path, why);
}

bool posix_file_system::truncate(const std::string& path, std::uint64_t size, reason& why)
{
    const descriptor it{path, O_WRONLY};
    if (!it.is_open() || ::ftruncate(it.get(), static_cast<off_t>(size)) != 0) {
        return fail(why, "truncate", path);
    }
    return ::fsync(it.get()) == 0 || fail(why, "sync", path);
}

bool posix_file_system::make_folder(const std::string& path, reason& why)
{
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    if (ec) {
        why = {"make folder", path, ec.message()};
        return false;
    }
    return sync_folder_of(path, why) && sync_folder(path, why);
}

} // namespace cedarpoint

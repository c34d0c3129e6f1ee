// A library for LD_PRELOAD of daemons: delays each sync of a file, as on a heavily loaded disk.

#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr long sync_delay_ns = 600'000'000;

void delay_sync()
{
    const timespec delay{0, sync_delay_ns};
    ::nanosleep(&delay, nullptr);
}

} // namespace

extern "C" int fsync(int fd)
{
    delay_sync();
    return static_cast<int>(::syscall(SYS_fsync, fd));
}

extern "C" int fdatasync(int fd)
{
    delay_sync();
    return static_cast<int>(::syscall(SYS_fdatasync, fd));
}

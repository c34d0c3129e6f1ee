// A library for LD_PRELOAD of daemons: delays each sync of a file, as on a heavily loaded disk.

#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr long sync_time_ns = 600'000'000;

void wait_for_disk()
{
    const timespec time{0, sync_time_ns};
    ::nanosleep(&time, nullptr);
}

} // namespace

extern "C" int fsync(int descriptor)
{
    wait_for_disk();
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}

extern "C" int fdatasync(int descriptor)
{
    wait_for_disk();
    return static_cast<int>(::syscall(SYS_fdatasync, descriptor));
}

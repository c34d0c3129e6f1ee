// A library for LD_PRELOAD of daemons: the clocks that exclude suspension stop between SIGSTOP and
// SIGCONT, as on a machine that was suspended.

#include <atomic>
#include <csignal>
#include <cstdint>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr std::int64_t ns_per_second = 1'000'000'000;

std::atomic<std::int64_t> suspended_ns{0};
std::atomic<std::int64_t> last_reading_ns{0}; ///< CLOCK_MONOTONIC at the last reading of a clock

std::int64_t read_system_clock(clockid_t clock_id)
{
    timespec it{};
    ::syscall(SYS_clock_gettime, clock_id, &it);
    return it.tv_sec * ns_per_second + it.tv_nsec;
}

void on_continue(int /*signal*/)
{
    const auto now = read_system_clock(CLOCK_MONOTONIC);
    suspended_ns += now - last_reading_ns.exchange(now);
}

[[gnu::constructor]] void install_handler()
{
    last_reading_ns = read_system_clock(CLOCK_MONOTONIC);
    struct sigaction action {};
    action.sa_handler = on_continue;
    action.sa_flags = SA_RESTART;
    ::sigaction(SIGCONT, &action, nullptr);
}

bool excludes_suspension(clockid_t clock_id)
{
    return clock_id == CLOCK_MONOTONIC || clock_id == CLOCK_MONOTONIC_RAW ||
           clock_id == CLOCK_MONOTONIC_COARSE;
}

} // namespace

extern "C" int clock_gettime(clockid_t clock_id, timespec* out)
{
    auto now = read_system_clock(clock_id);
    if (excludes_suspension(clock_id)) {
        last_reading_ns = read_system_clock(CLOCK_MONOTONIC);
        now -= suspended_ns;
    }
    out->tv_sec = now / ns_per_second;
    out->tv_nsec = now % ns_per_second;
    return 0;
}

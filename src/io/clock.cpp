#include "io/clock.h"

#include <time.h>

namespace cedarpoint {
namespace {

constexpr std::int64_t us_per_second = 1'000'000;
constexpr std::int64_t ns_per_us = 1000;

instant read_clock(clockid_t which)
{
    timespec it{};
    clock_gettime(which, &it);
    return instant{duration{it.tv_sec * us_per_second + it.tv_nsec / ns_per_us}};
}

} // namespace

instant steady_now()
{
    return read_clock(CLOCK_BOOTTIME);
}

instant timer_now()
{
    return read_clock(CLOCK_MONOTONIC);
}

std::uint64_t wall_ms()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

} // namespace cedarpoint

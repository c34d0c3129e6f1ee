#pragma once

#include <chrono>
#include <cstdint>

namespace cedarpoint {

/// Clock type of the decision code, which never reads a clock: callers pass the present time in.
/// Steady; its epoch has no meaning.
struct core_clock {
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<core_clock>;
    static constexpr bool is_steady = true;
};

using instant = core_clock::time_point;
using duration = core_clock::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Whole milliseconds, rounded down; for logs and headers.
constexpr std::int64_t to_ms(duration it)
{
    return std::chrono::duration_cast<milliseconds>(it).count();
}

} // namespace cedarpoint

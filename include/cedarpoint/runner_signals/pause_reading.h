#pragma once

#include "cedarpoint/core/time.h"

#include <string_view>
#include <vector>

namespace cedarpoint {

/// Longer pauses are shortened to this. A runner that asks for more is faulty or will not recover
/// without a restart; until an operator intervenes, each daemon tries it once per this time.
inline constexpr duration max_pause = std::chrono::hours{1};

/// The Retry-After headers of a 503: how long the runner asks this daemon to send it no requests.
struct pause_reading {
    enum class kind_t {
        absent,    ///< the answer asks for no pause
        asked,     ///< the answer asks for a pause of `time`
        unreadable ///< the value is not a time in seconds; it is ignored
    };
    kind_t kind = kind_t::absent;
    duration time{}; ///< above 0, at most `max_pause`
};

/// `values`: the value of each Retry-After header, in seconds with or without a fraction, or a
/// comma-separated list of these. The longest valid one is used. Dates are not supported: the
/// wall clocks of the two machines may differ by more than the length of a pause.
[[nodiscard]] pause_reading read_pause(const std::vector<std::string_view>& values);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"

#include <string_view>
#include <vector>

namespace cedarpoint {

/// The longest pause that is obeyed. A runner that asks for more has a fault or will not come back
/// in this life; until an operator has looked at it, each daemon tries it once in this time.
inline constexpr duration longest_pause = std::chrono::hours{1};

/// What the Retry-After headers of a 503 say: how long the runner wants no request from this
/// daemon.
struct pause_reading {
    enum class kind_t {
        absent,    ///< no pause is asked for
        asked,     ///< one is, of `time`
        unreadable ///< something is said that is no time in seconds; it changes nothing
    };
    kind_t kind = kind_t::absent;
    duration time{}; ///< above 0, at most `longest_pause`
};

/// `values`: of each Retry-After header, in seconds with or without a fraction, or a list of them.
/// Of several readable ones the longest holds. A date is not read: the clocks of the day of the two
/// machines may differ by more than a pause lasts.
[[nodiscard]] pause_reading read_pause(const std::vector<std::string_view>& values);

} // namespace cedarpoint

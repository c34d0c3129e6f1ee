#include "io/suspension_watch.h"

namespace cedarpoint {
namespace {

/// Smaller differences are ignored. The clocks are read one after the other, and the time between
/// the two readings is below this value.
constexpr duration min_suspension = milliseconds{50};

} // namespace

duration suspension_watch::take(instant now, instant timer_time)
{
    const auto offset = now - timer_time;
    const auto suspended = offset - clock_offset_;
    if (suspended < min_suspension) {
        return {};
    }
    clock_offset_ = offset;
    return suspended;
}

} // namespace cedarpoint

#include "io/suspension_watch.h"

namespace cedarpoint {
namespace {

/// Smaller differences are ignored. The clocks are read one after the other, and the time between
/// the two readings is below this value.
constexpr duration least_suspension = milliseconds{50};

} // namespace

duration suspension_watch::take(instant now, instant timer_time)
{
    const auto apart = now - timer_time;
    const auto grown = apart - apart_;
    if (grown < least_suspension) {
        return {};
    }
    apart_ = apart;
    return grown;
}

} // namespace cedarpoint

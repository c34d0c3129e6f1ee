#include "cedarpoint/core/peer_clock.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Messages overtake each other by less than this. A stamp that lies further back is of a clock
/// that has begun anew: the peer's machine was started again.
constexpr duration longest_overtaking = seconds{10};

} // namespace

instant peer_clock::on_message(instant now, instant stamp)
{
    if (stamp < latest_stamp_ - longest_overtaking) {
        *this = {};
    }
    latest_stamp_ = std::max(latest_stamp_, stamp);
    const auto offset = now - stamp;
    offsets_.add(now, offset);
    return stamp + offsets_.value().value_or(offset);
}

} // namespace cedarpoint

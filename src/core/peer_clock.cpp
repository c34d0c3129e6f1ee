#include "cedarpoint/core/peer_clock.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Messages of one peer are reordered by less than this. A stamp that is further behind the latest
/// one comes from a clock that was reset: the peer's machine was restarted.
constexpr duration max_reordering = seconds{10};

} // namespace

instant peer_clock::on_message(instant now, instant stamp)
{
    if (stamp < latest_stamp_ - max_reordering) {
        *this = {};
    }
    latest_stamp_ = std::max(latest_stamp_, stamp);
    const auto offset = now - stamp;
    offsets_.add(now, offset);
    return stamp + offsets_.value().value_or(offset);
}

} // namespace cedarpoint

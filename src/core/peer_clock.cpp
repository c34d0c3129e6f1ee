#include "cedarpoint/core/peer_clock.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Bounds what the drift between two clocks adds up to.
constexpr duration window_length = seconds{60};

/// Messages overtake each other by less than this. A stamp that lies further back is of a clock
/// that has begun anew: the peer's machine was started again.
constexpr duration longest_overtaking = seconds{10};

} // namespace

instant peer_clock::on_message(instant now, instant stamp)
{
    const auto offset = now - stamp;
    if (lowest_ && stamp < latest_stamp_ - longest_overtaking) {
        *this = {};
    }
    latest_stamp_ = std::max(latest_stamp_, stamp);
    if (!lowest_ || now - window_began_ >= window_length) {
        begin_window(now, offset);
    }
    lowest_ = std::min(*lowest_, offset);
    return stamp + std::min(*lowest_, lowest_earlier_.value_or(*lowest_));
}

void peer_clock::begin_window(instant now, duration offset)
{
    const bool is_next = lowest_ && now - window_began_ < 2 * window_length;
    lowest_earlier_ = is_next ? lowest_ : std::nullopt;
    lowest_ = offset;
    window_began_ = now;
}

} // namespace cedarpoint

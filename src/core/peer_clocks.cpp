#include "cedarpoint/core/peer_clocks.h"

namespace cedarpoint {
namespace {

/// Steady clocks start near zero when the machine boots, so a larger reading (more than 140 years)
/// is not valid.
constexpr std::int64_t max_stamp_us = std::int64_t{1} << 52;

} // namespace

instant peer_clocks::sent_at(instant now, const daemon_id& peer, std::int64_t stamp_us)
{
    if (stamp_us <= 0 || stamp_us > max_stamp_us) {
        return now;
    }
    return clocks_[peer].on_message(now, instant{duration{stamp_us}});
}

} // namespace cedarpoint

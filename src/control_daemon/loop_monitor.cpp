#include "control_daemon/loop_monitor.h"

#include <utility>

namespace cedarpoint {
namespace {

/// A turn that takes this long is reported. It is the interval of the log's heartbeats.
constexpr duration slow_turn_limit = milliseconds{100};
constexpr duration report_interval = seconds{1};

} // namespace

void loop_monitor::end_part(instant now, loop_part part)
{
    if (part_began_) {
        const auto passed = now - *part_began_;
        turn_.parts.at(static_cast<std::size_t>(part)) += passed;
        turn_.total += passed;
    }
    part_began_ = now;
}

std::optional<loop_monitor::slow_turn> loop_monitor::end_turn(instant now)
{
    const auto ended = std::exchange(turn_, {});
    if (ended.total < slow_turn_limit || now < next_report_) {
        return {};
    }
    next_report_ = now + report_interval;
    return ended;
}

} // namespace cedarpoint

#include "cedarpoint/fleet/weight_load_limiter.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

/// Window over which the platform measures the rate of loads.
constexpr double window_seconds = 5;
/// Loads are counted for a second longer than the window, because a runner may begin a load that
/// much later than it was ordered.
constexpr duration counting_time = seconds{6};
/// Fraction of the rate that is used. The rest allows for loads that begin even later.
constexpr double usable_fraction = 0.8;

} // namespace

void weight_load_limiter::set_limits(double per_second, int max_concurrent)
{
    per_second_ = per_second;
    max_concurrent_ = static_cast<std::size_t>(std::max(max_concurrent, 1));
}

bool weight_load_limiter::has_room(std::size_t count, std::size_t running) const
{
    // A group that needs more loads than may run concurrently begins while no other load runs.
    return unmetered_ || running == 0 || running + count <= max_concurrent_;
}

bool weight_load_limiter::is_within_rate(instant now, std::size_t count) const
{
    const auto recent = static_cast<std::size_t>(
        std::count_if(begin_times_.begin(), begin_times_.end(),
                      [&](instant each) { return now - each < counting_time; }));
    const auto allowed =
        static_cast<std::size_t>(std::floor(per_second_ * window_seconds * usable_fraction));
    return recent + count <= std::max<std::size_t>(allowed, 1);
}

bool weight_load_limiter::allows(instant now, std::size_t count, std::size_t running) const
{
    if (count == 0) {
        return true;
    }
    return has_room(count, running) && (unmetered_ || is_within_rate(now, count));
}

bool weight_load_limiter::allows_background(instant now, std::size_t running) const
{
    return unmetered_ || (running == 0 && is_within_rate(now, 1));
}

void weight_load_limiter::begin(instant now, std::size_t count)
{
    while (!begin_times_.empty() && now - begin_times_.front() >= counting_time) {
        begin_times_.pop_front();
    }
    begin_times_.insert(begin_times_.end(), count, now);
}

} // namespace cedarpoint

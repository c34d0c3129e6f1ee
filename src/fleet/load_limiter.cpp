#include "cedarpoint/fleet/load_limiter.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

/// Loads are counted over this long; an order that is carried out late must still fit.
constexpr duration window = seconds{6};
constexpr double window_seconds = 5;
constexpr double margin = 0.8;
/// Loads that have begun before the first request are quick to their end, so more are begun.
constexpr std::size_t ahead = 3;

} // namespace

void load_limiter::set_limits(double per_second, int at_once)
{
    per_second_ = per_second;
    at_once_ = static_cast<std::size_t>(std::max(at_once, 1));
}

bool load_limiter::allows(instant now, std::size_t count, std::size_t running) const
{
    if (count == 0) {
        return true;
    }
    // A group that needs more than the store's places still has to begin some time.
    const auto places = unmetered_ ? at_once_ * ahead : at_once_ + 1;
    const bool room = running == 0 || running + count <= places;
    if (unmetered_) {
        return room;
    }
    const auto recent = static_cast<std::size_t>(std::count_if(
        begun_.begin(), begun_.end(), [&](instant each) { return now - each < window; }));
    const auto most = static_cast<std::size_t>(std::floor(per_second_ * window_seconds * margin));
    return room && recent + count <= std::max<std::size_t>(most, 1);
}

void load_limiter::begin(instant now, std::size_t count)
{
    while (!begun_.empty() && now - begun_.front() >= window) {
        begun_.pop_front();
    }
    begun_.insert(begun_.end(), count, now);
}

} // namespace cedarpoint

#include "cedarpoint/fleet/answer_times.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

constexpr duration window_length = seconds{15};

} // namespace

void answer_times::record(instant now, const std::string& route, duration took)
{
    if (now - current_began_ >= window_length) {
        previous_ =
            now - current_began_ < 2 * window_length ? std::exchange(current_, {}) : window{};
        current_.clear();
        current_began_ = now;
    }
    auto& longest = current_[route];
    longest = std::max(longest, took);
}

std::optional<duration> answer_times::longest(instant now, const std::string& route) const
{
    std::optional<duration> out;
    const auto age = now - current_began_;
    const auto take = [&](const window& from, duration max_age) {
        const auto found = from.find(route);
        if (found != from.end() && age < max_age) {
            out = std::max(out.value_or(duration{}), found->second);
        }
    };
    take(current_, 2 * window_length);
    take(previous_, window_length);
    return out;
}

} // namespace cedarpoint

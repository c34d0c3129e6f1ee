#include "cedarpoint/fleet/window_budget.h"

#include <algorithm>

namespace cedarpoint {
namespace {

constexpr duration bucket_width = milliseconds{250};

} // namespace

void window_budget::count(std::deque<bucket>& into, instant now)
{
    if (into.empty() || now - into.back().first >= bucket_width) {
        into.emplace_back(now, 0);
    }
    ++into.back().second;
}

int window_budget::sum(const std::deque<bucket>& in)
{
    int out = 0;
    for (const auto& [at, count] : in) {
        out += count;
    }
    return out;
}

void window_budget::forget(instant now)
{
    // Repeats count a bucket longer than the window; first attempts a bucket less.
    while (!first_.empty() && now - first_.front().first > options_.window - bucket_width) {
        first_.pop_front();
    }
    while (!repeats_.empty() && now - repeats_.front().first > options_.window + bucket_width) {
        repeats_.pop_front();
    }
}

void window_budget::on_first_attempt(instant now)
{
    forget(now);
    count(first_, now);
}

bool window_budget::take(instant now, std::size_t daemons)
{
    forget(now);
    const auto share = daemons == 0 ? 0 : options_.slack / static_cast<double>(daemons);
    const auto most = options_.safety * (options_.ratio * sum(first_) + share);
    if (sum(repeats_) + 1 > most) {
        return false;
    }
    count(repeats_, now);
    return true;
}

} // namespace cedarpoint

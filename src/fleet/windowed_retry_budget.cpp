#include "cedarpoint/fleet/windowed_retry_budget.h"

namespace cedarpoint {
namespace {

/// Width of the buckets in which requests are counted. Buckets keep memory use independent of the
/// traffic.
constexpr duration bucket_width = milliseconds{250};

void drop_before(std::deque<std::pair<instant, int>>& buckets, instant oldest)
{
    while (!buckets.empty() && buckets.front().first < oldest) {
        buckets.pop_front();
    }
}

} // namespace

void windowed_retry_budget::count(std::deque<bucket>& into, instant now)
{
    if (into.empty() || now - into.back().first >= bucket_width) {
        into.emplace_back(now, 0);
    }
    ++into.back().second;
}

int windowed_retry_budget::sum(const std::deque<bucket>& in)
{
    int out = 0;
    for (const auto& [begun, count] : in) {
        out += count;
    }
    return out;
}

void windowed_retry_budget::drop_expired(instant now)
{
    // The time of a request within its bucket is not known. Retries are counted for one bucket
    // longer than the window and first attempts for one bucket less, so that the bound holds for
    // every window.
    drop_before(first_attempts_, now - options_.window + bucket_width);
    drop_before(retries_, now - options_.window - bucket_width);
}

void windowed_retry_budget::on_first_attempt(instant now)
{
    drop_expired(now);
    count(first_attempts_, now);
}

bool windowed_retry_budget::take(instant now, std::size_t daemons)
{
    drop_expired(now);
    const bool has_part = daemons > 0 && now - started_ >= options_.window;
    const auto slack = has_part ? options_.slack / static_cast<double>(daemons) : 0;
    const auto allowed = options_.safety * (options_.ratio * sum(first_attempts_) + slack);
    if (sum(retries_) + 1 > allowed) {
        return false;
    }
    count(retries_, now);
    return true;
}

} // namespace cedarpoint

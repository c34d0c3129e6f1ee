#include "cedarpoint/admission/account_limits.h"

#include "cedarpoint/request/refusals.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

constexpr double us_per_minute = 60e6;
constexpr double us_per_ms = 1000;
/// Capacity of the token bucket, in minutes at the full rate: a burst of ten seconds' worth of
/// requests may start at once.
constexpr double burst_minutes = 1.0 / 6;

/// Returns this daemon's share of a limit, rounded up and at least 1.
int share_of(int limit, double share)
{
    return std::max(1, static_cast<int>(std::ceil(limit * share)));
}

} // namespace

void account_limits::refill(usage& it, instant now, double per_minute)
{
    const double capacity = std::max(1.0, per_minute * burst_minutes);
    if (!it.started) {
        it.started = true;
        it.tokens = capacity;
    }
    else {
        const auto elapsed = static_cast<double>((now - it.refilled_at).count());
        it.tokens = std::min(capacity, it.tokens + elapsed * per_minute / us_per_minute);
    }
    it.refilled_at = now;
}

std::optional<refusal> account_limits::admit(instant now, const account_spec& account, double share)
{
    auto& it = usage_[account.id];
    if (it.in_flight >= share_of(account.max_in_flight, share)) {
        return refusals::too_many_in_flight();
    }
    if (account.requests_per_minute > 0) {
        const double per_minute = account.requests_per_minute * share;
        refill(it, now, per_minute);
        if (it.tokens < 1) {
            // Time until a whole token is available, rounded up to whole milliseconds.
            const auto wait =
                static_cast<std::int64_t>((1 - it.tokens) * us_per_minute / per_minute / us_per_ms);
            return refusals::over_rate(milliseconds{wait + 1});
        }
        it.tokens -= 1;
    }
    ++it.in_flight;
    return {};
}

void account_limits::release(const client_account_id& account)
{
    if (const auto it = usage_.find(account); it != usage_.end() && it->second.in_flight > 0) {
        --it->second.in_flight;
    }
}

int account_limits::in_flight(const client_account_id& account) const
{
    const auto it = usage_.find(account);
    return it == usage_.end() ? 0 : it->second.in_flight;
}

} // namespace cedarpoint

#include "cedarpoint/rate_limits/rate_limit.h"

#include "cedarpoint/core/parse_decimal.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

/// After a limit has ended, the allowed rate starts at the limit, or at this rate if the limit was
/// lower. It doubles every `recovery_doubling_time`, and becomes unlimited after `recovery_time`.
constexpr request_rate initial_recovery_rate{1};
constexpr duration recovery_doubling_time = milliseconds{500};
constexpr duration recovery_time = seconds{3};

double in_seconds(duration in)
{
    return std::chrono::duration<double>(in).count();
}

} // namespace

std::optional<request_rate> parse_request_rate(std::string_view text)
{
    const auto value = parse_decimal(text);
    return value ? std::optional{request_rate{*value}} : std::nullopt;
}

rate_limit_reading read_rate_limit(const std::vector<std::string_view>& values)
{
    using kind_t = rate_limit_reading::kind_t;
    rate_limit_reading out;
    std::optional<request_rate> lowest;
    for (const auto value : values) {
        if (const auto rate = parse_request_rate(value)) {
            lowest = lowest ? std::min(*lowest, *rate) : *rate;
        }
    }
    if (!lowest) {
        out.kind = values.empty() ? kind_t::absent : kind_t::unreadable;
        return out;
    }
    out.kind = *lowest < unlimited_request_rate ? kind_t::named : kind_t::absent;
    out.rate = *lowest;
    return out;
}

void rate_limit_record::on_named(instant now, request_rate rate, instant received_at)
{
    if (!named_at_ || received_at > *named_at_) {
        rate_ = rate;
        named_at_ = received_at;
    }
    else if (received_at == *named_at_) {
        rate_ = std::min(rate_, rate);
    }
    update_end(now);
}

void rate_limit_record::on_not_named(instant now, instant sent_at)
{
    not_named_at_ = not_named_at_ ? std::max(*not_named_at_, sent_at) : sent_at;
    update_end(now);
}

void rate_limit_record::merge(instant now, const rate_limit_record& in)
{
    if (in.named_at_) {
        on_named(now, in.rate_, *in.named_at_);
    }
    if (in.not_named_at_) {
        on_not_named(now, *in.not_named_at_);
    }
}

void rate_limit_record::update_end(instant now)
{
    if (is_limited()) {
        ended_at_.reset();
    }
    else if (named_at_ && !ended_at_) {
        ended_at_ = now;
    }
}

bool rate_limit_record::is_limited() const
{
    return named_at_ && (!not_named_at_ || *not_named_at_ <= *named_at_);
}

bool rate_limit_record::is_over(instant now) const
{
    return ended_at_ && now - *ended_at_ >= recovery_time;
}

request_rate rate_limit_record::allowed(instant now) const
{
    const auto held = std::max(rate_, min_request_rate);
    if (!ended_at_) {
        return held;
    }
    const auto doublings = in_seconds(now - *ended_at_) / in_seconds(recovery_doubling_time);
    return {std::max(held, initial_recovery_rate).per_second * std::exp2(doublings)};
}

} // namespace cedarpoint

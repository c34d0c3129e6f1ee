#include "cedarpoint/fleet/rate_limit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace cedarpoint {
namespace {

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

std::optional<request_rate> parse_request_rate(std::string_view text)
{
    const auto digits = trimmed(text);
    double value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole = ec == std::errc{} && end == digits.data() + digits.size();
    if (!whole || !std::isfinite(value) || std::signbit(value)) {
        return {};
    }
    return std::min(request_rate{value}, highest_request_rate);
}

rate_limit_reading read_rate_limit(const std::vector<std::string_view>& values)
{
    using kind_t = rate_limit_reading::kind_t;
    rate_limit_reading out;
    for (const auto value : values) {
        const auto rate = parse_request_rate(value);
        if (!rate) {
            out.kind = out.kind == kind_t::named ? out.kind : kind_t::unreadable;
            continue;
        }
        out.rate = out.kind == kind_t::named ? std::min(out.rate, *rate) : *rate;
        out.kind = kind_t::named;
    }
    return out;
}

void rate_limit_record::on_named(request_rate rate, instant heard_at)
{
    if (!named_at_ || heard_at > *named_at_) {
        rate_ = rate;
        named_at_ = heard_at;
    }
    else if (heard_at == *named_at_) {
        rate_ = std::min(rate_, rate);
    }
}

void rate_limit_record::on_not_named(instant sent_at)
{
    not_named_at_ = not_named_at_ ? std::max(*not_named_at_, sent_at) : sent_at;
}

void rate_limit_record::merge(const rate_limit_record& in)
{
    if (in.named_at_) {
        on_named(in.rate_, *in.named_at_);
    }
    if (in.not_named_at_) {
        on_not_named(*in.not_named_at_);
    }
}

bool rate_limit_record::is_limited() const
{
    return named_at_ && (!not_named_at_ || *not_named_at_ <= *named_at_);
}

} // namespace cedarpoint

#include "cedarpoint/core/parse_decimal.h"

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

std::optional<double> parse_decimal(std::string_view text)
{
    const auto digits = trimmed(text);
    double value = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const bool whole = ec == std::errc{} && end == digits.data() + digits.size();
    if (!whole || !std::isfinite(value) || std::signbit(value)) {
        return {};
    }
    return value;
}

} // namespace cedarpoint

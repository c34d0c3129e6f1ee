#include "cedarpoint/core/parse_integer.h"

#include <charconv>

namespace cedarpoint {

std::optional<std::int64_t> parse_integer(std::string_view text)
{
    std::int64_t out = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), out);
    const bool whole = ec == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional{out} : std::nullopt;
}

} // namespace cedarpoint

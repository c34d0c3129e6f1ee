#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cedarpoint {

/// Parses a decimal integer. Returns empty unless the whole of `text` is one.
std::optional<std::int64_t> parse_integer(std::string_view text);

} // namespace cedarpoint

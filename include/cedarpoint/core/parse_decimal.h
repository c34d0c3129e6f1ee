#pragma once

#include <optional>
#include <string_view>

namespace cedarpoint {

/// Parses a finite, non-negative decimal number. Spaces and tabs around it are ignored. Returns
/// empty for any other text.
[[nodiscard]] std::optional<double> parse_decimal(std::string_view text);

} // namespace cedarpoint

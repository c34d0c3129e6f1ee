#pragma once

#include <optional>
#include <string_view>

namespace cedarpoint {

/// A finite decimal number that is not negative, with blanks round it or not; empty for anything
/// else.
[[nodiscard]] std::optional<double> parse_decimal(std::string_view text);

} // namespace cedarpoint

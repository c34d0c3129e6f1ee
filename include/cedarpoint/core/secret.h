#pragma once

#include <string_view>

namespace cedarpoint {

/// Compares in a time that does not depend on where the two differ.
bool equal_digest(std::string_view a, std::string_view b);

} // namespace cedarpoint

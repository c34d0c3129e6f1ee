#pragma once

#include <string_view>

namespace cedarpoint {

/// Compares two digests in a time that does not depend on the position of the first difference.
/// Digests of different lengths are unequal.
bool equal_digest(std::string_view a, std::string_view b);

} // namespace cedarpoint

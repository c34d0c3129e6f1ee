#include "cedarpoint/core/secret.h"

#include <cstddef>

namespace cedarpoint {

bool equal_digest(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned char diff = 0;
    for (std::size_t n = 0; n < a.size(); ++n) {
        diff |= static_cast<unsigned char>(a[n] ^ b[n]);
    }
    return diff == 0;
}

} // namespace cedarpoint

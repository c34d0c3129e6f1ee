#include "cedarpoint/core/hash.h"

#include <xxhash.h>

namespace cedarpoint {

std::uint64_t hash_of(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

} // namespace cedarpoint

#include "cedarpoint/core/hash.h"

#include <algorithm>
#include <xxhash.h>

namespace cedarpoint {

std::uint64_t hash_of(std::string_view bytes)
{
    return XXH3_64bits(bytes.data(), bytes.size());
}

bool is_sha256_hex(std::string_view text)
{
    constexpr std::size_t digits = 64;
    return text.size() == digits && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

} // namespace cedarpoint

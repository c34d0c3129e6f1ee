#pragma once

#include <cstdint>
#include <string_view>

namespace cedarpoint {

/// Returns the 64-bit XXH3 hash, which is the same on every machine and in every process. Not for
/// secrets.
std::uint64_t hash_of(std::string_view bytes);

/// True for 64 lower-case hex digits.
bool is_sha256_hex(std::string_view text);

} // namespace cedarpoint

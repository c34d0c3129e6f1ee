#pragma once

#include <cstdint>
#include <cstdlib>

namespace cedarpoint::testing_support {

/// Sizes and seeds of runs by hand; `fallback` is what CI plays.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace cedarpoint::testing_support

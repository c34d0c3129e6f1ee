#pragma once

#include <cstdint>
#include <cstdlib>

namespace cedarpoint::testing_support {

/// Returns the number in an environment variable, such as the seed or size of a manual run;
/// `fallback`, which CI uses, if it is not set.
inline std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace cedarpoint::testing_support

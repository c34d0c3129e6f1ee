#pragma once

#include <string_view>

namespace cedarpoint {

/// Headers between a daemon and the runners' engines; docs/API.md, "Runners".
namespace engine_header {
/// The attempt that a request belongs to: "<request>/<number>". Runners echo it.
inline constexpr const char* attempt = "X-Request-Id";
/// In a runner's answer: it did not take the request.
inline constexpr const char* not_run = "Cedarpoint-Not-Run";
/// In a runner's answer: requests a second that it takes from all daemons together.
inline constexpr const char* rate_limit = "Cedarpoint-Rate-Limit";
/// In a runner's answer, with the value 1: it leaves and wants nothing new.
inline constexpr const char* leaving = "Cedarpoint-Leaving";
} // namespace engine_header

/// True for headers that are passed neither to runners nor from them: they are between the caller
/// and cedarpoint.
[[nodiscard]] bool is_private_header(std::string_view name);

} // namespace cedarpoint

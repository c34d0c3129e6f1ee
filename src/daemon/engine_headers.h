#pragma once

#include <string_view>

namespace cedarpoint {

/// Headers of requests and answers between a daemon and runners; see docs/API.md, "Runners".
namespace engine_header {
/// The attempt to which a request belongs, as "<request>/<number>". Runners echo the value.
inline constexpr const char* attempt = "X-Request-Id";
/// In an answer: the runner did not execute the request.
inline constexpr const char* not_run = "Cedarpoint-Not-Run";
/// In an answer: requests per second that the runner accepts from all daemons together.
inline constexpr const char* rate_limit = "Cedarpoint-Rate-Limit";
/// In an answer, with the value 1: the runner is leaving and should get no new requests.
inline constexpr const char* leaving = "Cedarpoint-Leaving";
} // namespace engine_header

/// Returns true for headers that cedarpoint consumes itself and forwards neither to runners nor to
/// callers.
[[nodiscard]] bool is_private_header(std::string_view name);

} // namespace cedarpoint

#pragma once

#include "io/http_message.h"

#include <string_view>

namespace cedarpoint {

/// Returns true for header fields that apply to a single connection and are never forwarded.
/// Content-Length is one of them because it is computed again for each connection.
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/// Returns the head without its hop-by-hop fields.
[[nodiscard]] http_head without_hop_by_hop(const http_head& head);

/// Delay in seconds before the next request. Sent to callers, and by runners to this daemon.
inline constexpr const char* retry_after_field = "Retry-After";

/// Returns the head without the fields called `name`.
[[nodiscard]] http_head without_field(const http_head& head, std::string_view name);

/// Returns true if the body is a stream of server-sent events.
[[nodiscard]] bool is_event_stream(const http_head& head);

} // namespace cedarpoint

#pragma once

#include "io/http_message.h"

#include <string_view>

namespace cedarpoint {

/// True for header fields that concern one connection only and are never passed on. The length is
/// among them: it is written anew for each connection.
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/// A head without its hop-by-hop fields.
[[nodiscard]] http_head without_hop_by_hop(const http_head& head);

/// When to come back, in seconds: to a caller, or from a runner to this daemon.
inline constexpr const char* retry_after_field = "Retry-After";

/// The head without the fields of this name.
[[nodiscard]] http_head without_field(const http_head& head, std::string_view name);

/// True if the body is a stream of server-sent events.
[[nodiscard]] bool is_event_stream(const http_head& head);

} // namespace cedarpoint

#pragma once

#include "io/http_message.h"
#include "io/runner_connection.h"

#include <memory>
#include <span>
#include <string_view>

namespace cedarpoint {

/// Serializes a caller's request to be sent on. Method, target and body are unchanged; hop-by-hop
/// fields and those named in `removed` are left out, and `added` follow in their place. The body is
/// not copied.
[[nodiscard]] outgoing_request serialize(const std::shared_ptr<const http_request>& from,
                                         const http_fields& added,
                                         std::span<const std::string_view> removed);

} // namespace cedarpoint

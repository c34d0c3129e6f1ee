#pragma once

#include <string_view>

namespace cedarpoint {

// Rules of HTTP/1.1 messages that the library's parser does not enforce.

/// Returns true if a line continues the one before it (RFC 9112, section 5.2). `lines` must hold
/// each field of the head or the trailers whole.
[[nodiscard]] bool has_folded_line(std::string_view lines);

} // namespace cedarpoint

#pragma once

#include <string_view>
#include <vector>

namespace cedarpoint {

// Rules of HTTP/1.1 messages that the library's parser does not enforce.

/// Returns true if a line continues the one before it (RFC 9112, section 5.2). `lines` must hold
/// each field of the head or the trailers whole.
[[nodiscard]] bool has_folded_line(std::string_view lines);

/// Returns true if an answer with this final status to a request other than HEAD may have a body
/// (RFC 9112, section 6.3).
[[nodiscard]] constexpr bool may_have_body(unsigned status)
{
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return status != no_content && status != not_modified;
}

/// Returns true if the values of all Transfer-Encoding fields of a message together name the coding
/// "chunked" once and nothing else (RFC 9112, section 7).
[[nodiscard]] bool is_only_chunked(const std::vector<std::string_view>& values);

} // namespace cedarpoint

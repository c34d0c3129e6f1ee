#pragma once

#include <string>
#include <string_view>

namespace cedarpoint {

/// Text is UTF-8. Messages between daemons and JSON documents can hold nothing else, so bytes from
/// outside become text once, where they enter.
[[nodiscard]] bool is_text(std::string_view bytes);

/// Returns `bytes` with U+FFFD in place of what is not UTF-8.
[[nodiscard]] std::string to_text(std::string bytes);

} // namespace cedarpoint

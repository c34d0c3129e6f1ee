#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Compresses a document for storage and for the way between daemons (its length, then gzip).
[[nodiscard]] std::string pack(std::string_view document);

/// The document that was packed; empty if `packed` is damaged or holds more than `most_bytes`.
[[nodiscard]] std::optional<std::string> unpack(const std::string& packed, std::size_t most_bytes);

} // namespace cedarpoint

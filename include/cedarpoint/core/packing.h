#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// Compresses a document for storage and for transfer between daemons. The format is the length of
/// the document as a varint, followed by a gzip stream.
[[nodiscard]] std::string pack(std::string_view document);

/// Decompresses the output of `pack`. Returns empty if `packed` is corrupt or if the document is
/// larger than `max_bytes`.
[[nodiscard]] std::optional<std::string> unpack(const std::string& packed, std::size_t max_bytes);

} // namespace cedarpoint

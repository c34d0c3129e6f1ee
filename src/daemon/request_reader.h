#pragma once

#include "cedarpoint/request/dispatcher.h"
#include "io/http_message.h"

#include <optional>

namespace cedarpoint {

/// Headers of callers' requests and of the answers to them.
namespace caller_header {
inline constexpr const char* session = "Cedarpoint-Session";
inline constexpr const char* request = "Cedarpoint-Request-Id";
inline constexpr const char* not_repeatable = "Cedarpoint-Not-Repeatable";
inline constexpr const char* priority = "Cedarpoint-Priority";
inline constexpr const char* deadline_ms = "Cedarpoint-Deadline-Ms";
inline constexpr const char* idempotency = "Idempotency-Key";
} // namespace caller_header

/// Returns true for the paths that are served by models.
bool is_model_path(std::string_view path);

/// Extracts the properties that the dispatcher needs from a request. Returns nothing and sets
/// `error` if the request is not valid.
std::optional<request_facts> read_facts(instant now, const http_request& request, request_id id,
                                        refusal& error);

/// Returns the digest of the key in "Authorization: Bearer KEY"; empty if there is none.
std::optional<std::string> bearer_digest(const http_request& request);

/// Returns the SHA-256 digest in lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

} // namespace cedarpoint

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// What makes two requests the same, whatever id each attempt of the caller has. Headers are left
/// out: callers vary them between attempts.
struct fingerprint_input {
    std::string_view account; ///< the client account, not its key; empty on public routes
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Identifies a request by its content: XXH3, 128 bits. Not for secrets; a caller who makes two
/// bodies collide harms only its own account.
struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// 32 lower-case hex digits, for logs and messages.
    [[nodiscard]] std::string str() const;
    /// Empty for anything but what `str` gives.
    [[nodiscard]] static std::optional<request_fingerprint> parse(std::string_view text);

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
};

[[nodiscard]] request_fingerprint fingerprint_of(const fingerprint_input& in);

} // namespace cedarpoint

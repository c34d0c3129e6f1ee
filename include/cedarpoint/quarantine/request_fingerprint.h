#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// The parts of a request that identify it across the caller's attempts, which may have different
/// request ids. Headers are left out because callers vary them between attempts.
struct fingerprint_input {
    std::string_view account; ///< client account, not its key; empty on public routes
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Identifies a request by the 128-bit XXH3 hash of its content. The hash is not cryptographic; a
/// caller that constructs a collision affects only its own client account.
struct request_fingerprint {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// 32 lower-case hex digits, for logs and messages.
    [[nodiscard]] std::string str() const;
    /// Returns an empty value for any text that `str` would not produce.
    [[nodiscard]] static std::optional<request_fingerprint> parse(std::string_view text);

    friend auto operator<=>(const request_fingerprint&, const request_fingerprint&) = default;
};

[[nodiscard]] request_fingerprint fingerprint_of(const fingerprint_input& in);

} // namespace cedarpoint

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// An IP address with a port. Host names are never resolved.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    /// Parses "10.0.0.1:80" or "[::1]:80". Returns empty for any other text, including host names
    /// and port 0.
    static std::optional<endpoint> parse(std::string_view text);

    [[nodiscard]] std::string str() const;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace cedarpoint

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// An IP number with a port. Names are never resolved.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    /// Reads "10.0.0.1:80" or "[::1]:80"; empty on anything else, names included.
    static std::optional<endpoint> parse(std::string_view text);

    [[nodiscard]] std::string str() const;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

} // namespace cedarpoint

#include "cedarpoint/core/endpoint.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace cedarpoint {
namespace {

constexpr std::size_t in6_bytes = 16;

bool is_ip(const std::string& text, int family)
{
    std::array<unsigned char, in6_bytes> buf{};
    return inet_pton(family, text.c_str(), buf.data()) == 1;
}

std::optional<std::uint16_t> parse_port(std::string_view text)
{
    std::uint16_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (ec != std::errc{} || end != text.data() + text.size() || n == 0) {
        return {};
    }
    return n;
}

} // namespace

std::optional<endpoint> endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    const auto port = parse_port(text.substr(colon + 1));
    if (!port) {
        return {};
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    std::string ip{host};
    if (!is_ip(ip, bracketed ? AF_INET6 : AF_INET)) {
        return {};
    }
    return endpoint{std::move(ip), *port};
}

std::string endpoint::str() const
{
    const bool v6 = ip.find(':') != std::string::npos;
    return (v6 ? "[" + ip + "]" : ip) + ":" + std::to_string(port);
}

} // namespace cedarpoint

// Loopback sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <optional>
#include <string>

namespace review {

struct endpoint {
    std::string ip;
    int port = 0;
    std::string str() const { return ip + ":" + std::to_string(port); }
};

inline std::optional<endpoint> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {};
    }
    return endpoint{text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

inline sockaddr_in address_of(const endpoint& in)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(in.port));
    inet_pton(AF_INET, in.ip.c_str(), &out.sin_addr);
    return out;
}

inline void set_timeouts(int fd, int ms)
{
    const timeval limit{ms / 1000, (ms % 1000) * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

/// Closes a connection with a reset.
inline void reset_and_close(int fd)
{
    const linger at_once{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    close(fd);
}

/// Returns a connected socket, or -1.
inline int connect_to(const endpoint& to, int timeout_ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    set_timeouts(fd, timeout_ms);
    const auto at = address_of(to);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) {
        close(fd);
        return -1;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/// Returns a listening socket, or -1. Port 0 takes a free one, which is written to `at`.
inline int listen_at(endpoint& at, int receive_buffer = 0)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    auto address = address_of(at);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        listen(fd, 128) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    at.port = ntohs(address.sin_port);
    return fd;
}

} // namespace review

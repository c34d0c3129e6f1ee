#include "io/socket_state.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstddef>

namespace cedarpoint {
namespace {

/// Longer times are ignored: no caller waits that long for an answer, so they are not the age of a
/// request.
constexpr duration max_wait = std::chrono::hours{1};

/// Bytes for SO_RCVBUF; the kernel doubles them for its own overhead.
constexpr int receive_buffer = 128 << 10;

duration read_since_data(int descriptor)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool is_available =
        ::getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
        size >= offsetof(tcp_info, tcpi_last_data_recv) + sizeof info.tcpi_last_data_recv;
    const duration out = milliseconds{is_available ? info.tcpi_last_data_recv : 0};
    return out <= max_wait ? out : duration{};
}

} // namespace

socket_state read_socket_state(int descriptor)
{
    socket_state out;
    char next = 0;
    const auto count = ::recv(descriptor, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    out.peer_has_closed = count == 0 || (count < 0 && errno == ECONNRESET);
    out.since_data = read_since_data(descriptor);
    return out;
}

void reset_on_close(int descriptor)
{
    const ::linger at_once{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void bound_receive_buffer(int descriptor)
{
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
}

} // namespace cedarpoint

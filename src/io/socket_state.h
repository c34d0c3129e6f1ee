#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// The kernel's state of a connection. A process that was suspended, or whose event loop was late,
/// uses it to find out how long a request has waited in its socket.
struct socket_state {
    bool peer_has_closed = false; ///< end of stream or reset, with no unread bytes before it
    duration since_data{};        ///< since the last bytes arrived; zero if not known
};

[[nodiscard]] socket_state read_socket_state(int descriptor);

/// Makes the close of a connection a reset, which the peer can't take for an orderly end.
void reset_on_close(int descriptor);

/// Bounds the bytes that the kernel keeps unread for a connection, which grow to megabytes
/// otherwise while nobody reads. Connections that a listening socket accepts inherit it. Must be
/// called before the connection is established.
void bound_receive_buffer(int descriptor);

} // namespace cedarpoint

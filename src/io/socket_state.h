#pragma once

#include "cedarpoint/core/time.h"

namespace cedarpoint {

/// What the system knows of a connection beyond the bytes that were read from it. A process that
/// was suspended, or whose event loop was late, finds requests that have waited in their sockets.
struct socket_state {
    bool peer_has_closed = false; ///< the end of the stream, or a reset, stands behind the bytes
    duration since_data{};        ///< since the latest bytes came; zero if the system does not tell
};

[[nodiscard]] socket_state read_socket_state(int descriptor);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/time.h"
#include "io/stream_socket.h"

#include <QTimer>

#include <functional>

namespace cedarpoint {

/// Tries once to connect to an address and closes the connection without sending anything.
class connect_probe {
public:
    enum class result {
        connected,
        refused, ///< the address answered with a reset because no process listens there
        failed   ///< any other error, or no answer within the timeout
    };

    /// `on_end` is called once, possibly from within `start`, and must not destroy the probe.
    connect_probe(const endpoint& to, std::function<void(result)> on_end);
    connect_probe(const connect_probe&) = delete;
    connect_probe& operator=(const connect_probe&) = delete;
    ~connect_probe() = default;

    void start(milliseconds delay = milliseconds{0});
    [[nodiscard]] bool is_done() const { return done_; }

private:
    void begin();
    void end(result how);

    endpoint to_;
    std::function<void(result)> on_end_;
    stream_socket socket_;
    QTimer timer_;
    bool begun_ = false;
    bool done_ = false;
};

} // namespace cedarpoint

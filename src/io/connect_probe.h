#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/time.h"
#include "io/stream_socket.h"

#include <QTimer>

#include <functional>

namespace cedarpoint {

/// One attempt to connect to an address. Closes the connection again; sends nothing.
class connect_probe {
public:
    enum class result {
        connected,
        refused, ///< the address answered with a reset: nothing listens there
        failed   ///< no answer in time
    };

    /// `on_end` is called once, perhaps within `start`, and may not destroy the probe.
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

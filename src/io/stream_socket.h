#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QSocketNotifier>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cedarpoint {

/// How a connection ended. Qt's own socket reports a reset as an orderly end, which would make an
/// answer without a length that was reset look whole.
enum class socket_end {
    orderly, ///< the peer closed after all that it had to say
    reset,   ///< the peer or the network broke the connection
    refused  ///< it was never made: nothing listens there
};

/// A TCP connection made from here, driven by the event loop.
class stream_socket {
public:
    struct handlers {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_bytes;
        std::function<void(socket_end)> on_end;
    };

    explicit stream_socket(handlers handlers);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void connect_to(const endpoint& to);
    void write(std::string_view bytes);
    /// Closes at once; nothing is reported.
    void close();
    /// The same, and what was not delivered yet never will be: the network holds nothing back for
    /// later.
    void reset();
    void set_reading(bool reading);

    [[nodiscard]] bool is_connected() const { return connected_ && descriptor_ >= 0; }
    [[nodiscard]] std::size_t unwritten() const { return out_.size(); }

private:
    void on_writable();
    void on_readable();
    void flush();
    void end(socket_end how);

    handlers handlers_;
    std::unique_ptr<QSocketNotifier> reader_;
    std::unique_ptr<QSocketNotifier> writer_;
    std::string out_;
    int descriptor_ = -1;
    bool connected_ = false;
};

} // namespace cedarpoint

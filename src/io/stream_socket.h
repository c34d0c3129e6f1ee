#pragma once

#include "cedarpoint/core/endpoint.h"

#include <QSocketNotifier>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cedarpoint {

/// How a connection ended. QTcpSocket reports a reset as an orderly end, so that an answer without
/// a length would look complete after a reset.
enum class socket_end {
    orderly, ///< the peer closed the connection
    reset,   ///< the peer or the network reset the connection
    refused  ///< not established, because no process listens there
};

/// An outgoing TCP connection, driven by the event loop.
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
    /// Writes bytes that others may hold as well. They are not copied.
    void write(std::shared_ptr<const std::string> bytes);
    /// Closes the connection without calling `on_end`.
    void close();
    /// Resets the connection without calling `on_end`. The kernel discards data that is not
    /// delivered yet.
    void reset();
    void set_reading(bool reading);

    [[nodiscard]] bool is_connected() const { return connected_ && descriptor_ >= 0; }
    [[nodiscard]] bool has_unwritten() const { return !out_.empty(); }
    /// Returns true if the kernel has something that was not handled yet: that the connection is
    /// established or refused, bytes, or the end of the connection.
    [[nodiscard]] bool has_pending_event() const;

private:
    void on_writable();
    void on_readable();
    void flush();
    /// Sends as many of the unwritten bytes as the kernel takes at once. Returns its result.
    [[nodiscard]] std::ptrdiff_t send_some();
    void drop_written(std::size_t n);
    void drop_unwritten();
    void on_send_failed(int error);
    void end(socket_end how);

    handlers handlers_;
    std::unique_ptr<QSocketNotifier> reader_;
    std::unique_ptr<QSocketNotifier> writer_;
    std::deque<std::shared_ptr<const std::string>> out_; ///< none of them is empty
    std::size_t written_ = 0;                            ///< bytes of the first one that were sent
    int descriptor_ = -1;
    bool connected_ = false;
    bool was_reset_ = false; ///< a write has reported that the connection is broken
};

} // namespace cedarpoint

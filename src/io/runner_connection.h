#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/core/time.h"
#include "io/http_message.h"
#include "io/http_parser.h"
#include "io/stream_socket.h"

#include <QTimer>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// How an exchange on a kept connection ended.
enum class exchange_end {
    complete, ///< the whole answer arrived
    refused,  ///< the address answered the connection with a reset: nothing listens there
    unsent,   ///< the connection was not made
    cut       ///< anything else: the runner may have taken the request
};

/// What the owner of an exchange is told. After `on_end` it hears nothing more.
struct exchange_handlers {
    std::function<void()> on_sent; ///< bytes were handed to the connection
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string)> on_body;
    std::function<void(exchange_end, const reason&)> on_end;
};

/// One request for a kept connection.
struct exchange_request {
    std::string bytes; ///< head and body as sent
    /// Makes the bytes when the connection is there, for what depends on the time. Empty: as given.
    std::function<std::string()> make_bytes;
    bool head_only = false; ///< the answer has no body
    /// An answer that bears another value under this header belongs to an earlier request and is
    /// passed over. Empty: not checked.
    std::string id_header;
    std::string id;
    milliseconds connect_timeout{400};
};

/// A connection to a runner that serves one request after the other.
class runner_connection final : public QObject {
public:
    explicit runner_connection(endpoint to);
    ~runner_connection() override;
    runner_connection(const runner_connection&) = delete;
    runner_connection& operator=(const runner_connection&) = delete;

    void start(exchange_request request, exchange_handlers handlers);
    /// Ends the exchange and the connection, without `on_end`.
    void cancel();
    /// Stops reading: the runner is held back through the connection.
    void pause(bool paused);

    [[nodiscard]] const endpoint& peer() const { return to_; }
    [[nodiscard]] bool is_busy() const { return busy_; }
    /// False once the peer closed, sent what nobody asked for, or asked to close.
    [[nodiscard]] bool is_reusable() const;
    /// When it was made; has no meaning before that.
    [[nodiscard]] instant connected_at() const { return connected_at_; }
    [[nodiscard]] instant idle_since() const { return idle_since_; }
    /// How long the peer said that it keeps an idle connection, if it did.
    [[nodiscard]] std::optional<seconds> keep_alive() const { return keep_alive_; }
    [[nodiscard]] bool is_fresh() const { return served_ == 0; }

private:
    void send();
    void on_connected();
    void read(std::string_view fresh);
    void read_answer();
    void take_head();
    void on_closed(socket_end how);
    void end(exchange_end how, const char* step, const std::string& text);
    [[nodiscard]] bool is_foreign(const http_head& head) const;

    endpoint to_;
    stream_socket socket_;
    QTimer connect_timer_;
    exchange_request request_;
    /// Shared, so that a handler that cancels does not end under its own feet.
    std::shared_ptr<const exchange_handlers> handlers_;
    std::unique_ptr<http_response_parser> parser_;
    std::string pending_;
    std::optional<seconds> keep_alive_;
    instant connected_at_;
    instant idle_since_;
    std::size_t served_ = 0;
    bool busy_ = false;
    bool spoiled_ = false;
    bool head_seen_ = false;
    bool foreign_ = false; ///< the answer being read belongs to another request
};

} // namespace cedarpoint

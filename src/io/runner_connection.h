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

/// How an exchange on a persistent connection ended.
enum class exchange_end {
    complete, ///< the whole answer arrived
    refused,  ///< the connection was refused: no process listens there
    unsent,   ///< the connection was not established
    cut       ///< any other end: the runner may have received the request
};

/// Callbacks to the owner of an exchange. `on_end` is the last one.
struct exchange_handlers {
    /// Called just before the request is written. May cancel the exchange; nothing is written then.
    std::function<void()> on_sending;
    std::function<void(const http_head&)> on_head;
    std::function<void(std::string)> on_body;
    std::function<void(exchange_end, const reason&)> on_end;
};

/// A request as it is sent. The body is shared by all attempts of a request and by the sockets that
/// write it.
struct outgoing_request {
    std::string head;                        ///< up to the empty line, or head and body in one
    std::shared_ptr<const std::string> body; ///< null if there is none, or if it is in `head`
};

/// One request for a persistent connection.
struct exchange_request {
    outgoing_request bytes;
    /// Makes the bytes once the connection is established, for requests that depend on the time.
    /// Empty: `bytes` is sent.
    std::function<outgoing_request()> make_bytes;
    bool head_only = false; ///< the answer has no body
    /// An answer whose header of this name has a value other than `id` belongs to an earlier
    /// request and is skipped. Empty: not checked.
    std::string id_header;
    std::string id;
    milliseconds connect_timeout{400};
};

/// A persistent connection to a runner. Carries one exchange at a time.
class runner_connection final : public QObject {
public:
    explicit runner_connection(endpoint to);
    ~runner_connection() override;
    runner_connection(const runner_connection&) = delete;
    runner_connection& operator=(const runner_connection&) = delete;

    void start(exchange_request request, exchange_handlers handlers);
    /// Ends the exchange and resets the connection without calling `on_end`.
    void cancel();
    /// Stops or resumes reading. While reading is stopped, TCP flow control slows the runner down.
    void pause(bool paused);

    [[nodiscard]] const endpoint& peer() const { return to_; }
    [[nodiscard]] bool is_busy() const { return busy_; }
    /// Returns false during an exchange and after the peer closed the connection, asked to close
    /// it, or sent bytes that belong to no request.
    [[nodiscard]] bool is_reusable() const;
    /// Returns when the connection was established; meaningless before that.
    [[nodiscard]] instant connected_at() const { return connected_at_; }
    [[nodiscard]] instant idle_since() const { return idle_since_; }
    /// Returns the timeout that the peer announced in a Keep-Alive header, if any.
    [[nodiscard]] std::optional<seconds> keep_alive() const { return keep_alive_; }
    /// Returns true if the kernel has something that was not handled yet, so that a timer of this
    /// process that has expired says nothing about the runner.
    [[nodiscard]] bool has_pending_event() const { return socket_.has_pending_event(); }
    /// Returns true while the connection is established.
    [[nodiscard]] bool is_open() const { return socket_.is_connected(); }
    /// Returns true if the latest answer had neither a length nor chunks and ended with the
    /// connection.
    [[nodiscard]] bool answer_ended_with_connection() const { return ended_with_connection_; }
    [[nodiscard]] bool is_fresh() const { return served_ == 0; }

private:
    void send();
    void on_connected();
    void on_connect_timeout();
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
    /// Shared, so that a handler that calls `cancel` is not destroyed while it runs.
    std::shared_ptr<const exchange_handlers> handlers_;
    std::unique_ptr<http_response_parser> parser_;
    std::string pending_;
    std::optional<seconds> keep_alive_;
    instant connected_at_;
    instant idle_since_;
    std::size_t served_ = 0;
    bool busy_ = false;
    bool unusable_ = false;
    bool head_seen_ = false;
    bool ended_with_connection_ = false;
    bool foreign_ = false;    ///< the answer being read belongs to another request
    std::size_t skipped_ = 0; ///< bytes of answers to other requests, in this exchange
};

} // namespace cedarpoint

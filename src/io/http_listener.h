#pragma once

#include "cedarpoint/config/settings.h"
#include "cedarpoint/core/byte_account.h"
#include "cedarpoint/core/byte_budget.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/request/refusal.h"
#include "io/http_message.h"

#include <QTcpServer>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace cedarpoint {

class http_connection;

/// The answer to one request. May outlive its connection; calls then have no effect. There is no
/// connection from the start if the caller closed it before the request was read.
class http_reply {
public:
    explicit http_reply(http_connection* connection) : connection_{connection} {}
    ~http_reply();
    http_reply(const http_reply&) = delete;
    http_reply& operator=(const http_reply&) = delete;

    /// Sends the whole answer at once.
    void send(http_head head, std::string body);
    /// Sends the head of an answer; `write` and `finish` follow. `length`: of the body in bytes, if
    /// it is known.
    void begin(http_head head, std::optional<std::uint64_t> length = {});
    void write(std::string bytes);
    void finish();
    /// Aborts the connection so that the caller can see that the answer is incomplete.
    void abort();

    [[nodiscard]] bool has_begun() const { return begun_; }
    [[nodiscard]] bool is_open() const { return connection_ != nullptr; }
    /// Returns the number of bytes that are not yet written to the connection.
    [[nodiscard]] std::size_t buffered() const;

    /// Called if the caller disconnects before the end.
    std::function<void()> on_caller_disconnected;
    std::function<void()> on_drained; ///< called when buffered bytes were written

private:
    friend class http_connection;
    http_connection* connection_;
    bool begun_ = false;
};

/// The memory that the requests and answers of one or more listeners share.
struct listener_memory {
    std::shared_ptr<byte_budget> bodies;     ///< of requests
    std::shared_ptr<byte_account> unwritten; ///< bytes of answers that callers have not taken
};

/// Returns the limits of a budget of this many bytes for the bodies of requests.
[[nodiscard]] byte_budget::limits body_budget_limits(std::size_t bytes);

using http_handler = std::function<void(http_request, std::shared_ptr<http_reply>)>;

/// Accepts HTTP/1.1 connections. Pipelined requests are answered one after the other. All memory
/// that a caller can make the daemon allocate is bounded.
class http_listener final : public QTcpServer {
public:
    /// With memory of its own for what `memory` leaves out.
    http_listener(caller_limits limits, http_handler handler, listener_memory memory = {});
    ~http_listener() override;
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    bool start(const endpoint& at, reason& why);
    [[nodiscard]] endpoint address() const;
    [[nodiscard]] std::size_t connections() const { return open_.size(); }
    /// Stops accepting connections. Open connections close after their current answer.
    void stop();
    /// Called for each request refused before it reached the handler.
    std::function<void(error_code)> on_refused;
    /// Answers a request for whose body there is no memory; the body is missing. Empty: the
    /// listener refuses it.
    http_handler on_no_memory;

protected:
    void incomingConnection(qintptr descriptor) override;

private:
    friend class http_connection;

    caller_limits limits_;
    http_handler handler_;
    listener_memory memory_;
    std::set<http_connection*> open_;
    bool stopping_ = false;
};

} // namespace cedarpoint

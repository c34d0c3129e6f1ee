#pragma once

#include "cedarpoint/config/settings.h"
#include "cedarpoint/request/refusal.h"
#include "io/http_listener.h"
#include "io/http_parser.h"
#include "io/output_queue.h"

#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// A caller's connection. Reads one request, passes it to the handler, and reads the next one only
/// after the answer is complete. Answers therefore can't mix, and pipelined requests wait in the
/// kernel's socket buffer.
class http_connection final : public QObject {
public:
    http_connection(http_listener& owner, qintptr descriptor);
    ~http_connection() override;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    void send(http_head head, std::string body);
    void begin(http_head head, std::optional<std::uint64_t> length);
    void write(std::string bytes);
    void finish();
    void abort();
    [[nodiscard]] std::size_t buffered() const { return output_.size(); }
    void close_when_idle();

private:
    enum class phase {
        reading,
        awaiting_memory, ///< nothing is read until there is memory for the body
        answering,
        flushing, ///< the last answer is complete and not yet written to the socket
        lingering ///< the last answer is written; what still arrives is dropped
    };

    void on_readable();
    void on_written();
    void read_request();
    /// Continues with the request by what the parser knows of it.
    void advance_request();
    /// Reserves memory for the body as far as its length is known. Returns false if there is none;
    /// the connection waits for it then.
    [[nodiscard]] bool reserve_body();
    void on_memory_granted();
    void refuse_for_memory();
    void refuse_fault();
    /// Reads what has arrived, which a late event loop has not reported yet.
    void read_waiting();
    void pass_to_handler();
    /// Takes the request from the parser; from here on an answer is due.
    [[nodiscard]] http_request take_request();
    void refuse(error_code code, const char* text, std::optional<milliseconds> retry_after = {});
    void on_timeout();
    void on_disconnected();
    void end_answer();
    /// Closes the connection once the last answer is written and the caller has received it.
    void close_after_answer();
    void linger();
    void add_connection_field(http_head& head);

    http_listener& owner_;
    const caller_limits& limits_;
    QTcpSocket socket_;
    QTimer timer_;
    http_request_parser parser_;
    std::string pending_;
    byte_budget::reservation body_memory_;
    std::unique_ptr<byte_budget::waiter> memory_waiter_; ///< set while the phase says so
    output_queue output_;
    std::shared_ptr<http_reply> reply_;
    phase phase_ = phase::reading;
    bool keep_alive_ = true;
    bool version_11_ = true;
    bool is_head_request_ = false;
    bool request_begun_ = false; ///< the time limit of the present request runs
    bool continue_sent_ = false; ///< "100 Continue" was sent for the present request
    bool closing_ = false;       ///< closes when it is idle
    bool last_answer_ = false;   ///< the present answer's head says that the connection closes
    bool chunked_ = false;
    int expired_half_timeouts_ = 0; ///< half stall timeouts without bytes taken by the caller
};

} // namespace cedarpoint

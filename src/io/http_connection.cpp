#include "io/http_connection.h"

#include "io/header_rules.h"
#include "io/socket_state.h"

#include <fmt/format.h>

#include <chrono>
#include <sys/socket.h>
#include <utility>

namespace cedarpoint {
namespace {

/// Time after which a connection without a request is closed.
constexpr int idle_timeout_ms = 75'000;
/// Time after which a connection is closed whose caller takes no bytes of the answer.
constexpr int stall_timeout_ms = 120'000;
/// Time after the last answer during which the rest of a request is read and dropped, because
/// closing a socket with unread bytes resets the connection, which could discard the answer.
constexpr int linger_ms = 1000;
/// Bytes read ahead of the parser. The bound slows down callers that send faster than the daemon
/// reads.
constexpr qint64 read_buffer = 65536;

} // namespace

http_connection::http_connection(http_listener& owner, qintptr descriptor)
    : owner_{owner}, limits_{owner.limits_},
      parser_{limits_.max_head_bytes, limits_.max_body_bytes}, output_{socket_,
                                                                       *owner.memory_.unwritten}
{
    socket_.setReadBufferSize(read_buffer);
    timer_.setSingleShot(true);
    connect(&socket_, &QTcpSocket::readyRead, this, [this] { on_readable(); });
    connect(&socket_, &QTcpSocket::disconnected, this, [this] { on_disconnected(); });
    connect(&socket_, &QTcpSocket::bytesWritten, this, [this] { on_written(); });
    connect(&timer_, &QTimer::timeout, this, [this] { on_timeout(); });
    socket_.setSocketDescriptor(descriptor);
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    timer_.start(static_cast<int>(limits_.head_timeout.count()));
}

http_connection::~http_connection()
{
    // Members declared after the socket are destroyed before it, and its destructor would still
    // emit signals to them.
    socket_.disconnect(this);
    if (reply_ != nullptr) {
        reply_->connection_ = nullptr;
    }
}

void http_connection::on_readable()
{
    if (phase_ == phase::lingering) {
        socket_.readAll();
        return;
    }
    if (phase_ == phase::reading) {
        read_request();
    }
}

void http_connection::on_written()
{
    expired_half_timeouts_ = 0;
    output_.feed();
    if (phase_ == phase::answering && reply_ != nullptr) {
        const auto reply = reply_;
        if (reply->on_drained) {
            reply->on_drained();
        }
        return;
    }
    if (buffered() > 0) {
        return;
    }
    if (phase_ == phase::flushing) {
        linger();
    }
    else if (closing_) {
        close_when_idle();
    }
}

void http_connection::add_connection_field(http_head& head)
{
    last_answer_ = !keep_alive_ || closing_;
    head.fields.add("Connection", last_answer_ ? "close" : "keep-alive");
}

void http_connection::send(http_head head, std::string body)
{
    add_connection_field(head);
    head.fields.add("Content-Length", std::to_string(body.size()));
    output_.push(serialize_head(head));
    if (!is_head_request_) {
        output_.push(std::move(body));
    }
    end_answer();
}

void http_connection::begin(http_head head, std::optional<std::uint64_t> length)
{
    chunked_ = version_11_ && !length;
    if (!version_11_ && !length) {
        keep_alive_ = false;
    }
    add_connection_field(head);
    if (chunked_) {
        head.fields.add("Transfer-Encoding", "chunked");
    }
    if (length) {
        head.fields.add("Content-Length", std::to_string(*length));
    }
    output_.push(serialize_head(head));
}

void http_connection::write(std::string bytes)
{
    if (bytes.empty() || is_head_request_) {
        return;
    }
    if (chunked_) {
        output_.push(fmt::format("{:x}\r\n", bytes.size()));
        bytes += "\r\n";
    }
    output_.push(std::move(bytes));
    if (!timer_.isActive()) {
        expired_half_timeouts_ = 0;
        timer_.start(stall_timeout_ms / 2);
    }
}

void http_connection::finish()
{
    if (chunked_ && !is_head_request_) {
        output_.push("0\r\n\r\n");
    }
    end_answer();
}

void http_connection::abort()
{
    if (!chunked_) {
        // The end of the connection is the end of the answer, unless it is a reset.
        reset_on_close(static_cast<int>(socket_.socketDescriptor()));
    }
    socket_.abort();
}

void http_connection::end_answer()
{
    if (reply_ != nullptr) {
        reply_->connection_ = nullptr;
        reply_.reset();
    }
    if (last_answer_) {
        close_after_answer();
        return;
    }
    phase_ = phase::reading;
    timer_.start(idle_timeout_ms);
    // Queued, because the next request may have arrived already and this runs within the handler.
    QMetaObject::invokeMethod(
        this,
        [this] {
            if (phase_ != phase::reading) {
                return;
            }
            read_request();
            if (closing_) {
                close_when_idle();
            }
        },
        Qt::QueuedConnection);
}

void http_connection::refuse(error_code code, const char* text,
                             std::optional<milliseconds> retry_after)
{
    body_memory_ = {};
    memory_waiter_.reset();
    if (owner_.on_refused) {
        owner_.on_refused(code);
    }
    keep_alive_ = false;
    http_head head{describe(code).status, {}};
    head.fields.add("Content-Type", "application/json");
    if (retry_after) {
        const auto whole = std::chrono::ceil<seconds>(*retry_after);
        head.fields.add(retry_after_field, std::to_string(whole.count()));
    }
    send(std::move(head), to_json({code, run_state::not_run, text, retry_after}, ""));
}

void http_connection::close_after_answer()
{
    phase_ = phase::flushing;
    pending_.clear();
    expired_half_timeouts_ = 0;
    timer_.start(stall_timeout_ms / 2);
    if (buffered() == 0 || (socket_.flush() && buffered() == 0)) {
        linger();
    }
}

void http_connection::linger()
{
    if (phase_ == phase::lingering) {
        return;
    }
    phase_ = phase::lingering;
    timer_.start(linger_ms);
    ::shutdown(static_cast<int>(socket_.socketDescriptor()), SHUT_WR);
    socket_.readAll();
}

void http_connection::on_timeout()
{
    if (phase_ == phase::lingering) {
        socket_.abort(); // an orderly end, since everything was written
        return;
    }
    if (phase_ == phase::awaiting_memory) {
        refuse_for_memory();
        return;
    }
    if (phase_ == phase::answering && buffered() == 0) {
        return; // the caller has taken everything; the runner is still producing the answer
    }
    if (buffered() > 0) {
        if (++expired_half_timeouts_ < 2) {
            timer_.start(stall_timeout_ms / 2);
            return;
        }
        abort();
        return;
    }
    // Timers may run before the event loop has reported bytes that arrived in time.
    read_waiting();
    if (phase_ != phase::reading) {
        return;
    }
    if (parser_.is_started()) {
        refuse(error_code::timed_out_reading, "the request did not arrive in time");
        return;
    }
    socket_.abort();
}

void http_connection::on_disconnected()
{
    timer_.stop();
    owner_.open_.erase(this);
    if (reply_ != nullptr) {
        const auto reply = std::exchange(reply_, nullptr);
        reply->connection_ = nullptr;
        if (reply->on_caller_disconnected) {
            reply->on_caller_disconnected();
        }
    }
    deleteLater();
}

void http_connection::close_when_idle()
{
    closing_ = true;
    if (phase_ != phase::reading) {
        return;
    }
    read_waiting();
    if (phase_ == phase::reading && !parser_.is_started() && buffered() == 0) {
        // Nothing is read from here on: a request that crosses the close gets a reset, which tells
        // its sender that it was not read.
        socket_.abort();
    }
}

} // namespace cedarpoint

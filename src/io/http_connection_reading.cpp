// How a connection reads requests: as far as there is memory for their bodies.

#include "io/http_connection.h"

#include "io/socket_state.h"

#include <utility>

namespace cedarpoint {
namespace {

/// Longest wait for memory for a request's body.
constexpr milliseconds max_memory_wait{1000};
/// Requests leave memory within fractions of a second.
constexpr milliseconds retry_after_no_memory{1000};

} // namespace

void http_connection::read_waiting()
{
    read_request();
    while (phase_ == phase::reading && socket_.waitForReadyRead(0)) {
    }
}

void http_connection::read_request()
{
    const auto fresh = socket_.readAll();
    pending_.append(fresh.constData(), static_cast<std::size_t>(fresh.size()));
    if (pending_.empty()) {
        return;
    }
    pending_.erase(0, parser_.put(pending_));
    advance_request();
}

void http_connection::advance_request()
{
    if (parser_.fault() != http_fault::none) {
        return refuse_fault();
    }
    if (parser_.is_head_done() && !reserve_body()) {
        return;
    }
    if (parser_.is_done()) {
        return pass_to_handler();
    }
    // A head, or the start of a chunk or trailers: of a body nothing is left over.
    if (pending_.size() > limits_.max_head_bytes) {
        return refuse(error_code::head_too_large, "the request's head is too large");
    }
    if (parser_.expects_continue() && !continue_sent_) {
        continue_sent_ = true;
        output_.push("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!std::exchange(request_begun_, true)) {
        timer_.start(static_cast<int>((limits_.head_timeout + limits_.body_timeout).count()));
    }
}

void http_connection::refuse_fault()
{
    switch (parser_.fault()) {
    case http_fault::head_too_large:
        return refuse(error_code::head_too_large, "the request's head is too large");
    case http_fault::body_too_large:
        return refuse(error_code::body_too_large, "the request's body is too large");
    default:
        return refuse(error_code::bad_request, "the request is not valid HTTP/1.1");
    }
}

bool http_connection::reserve_body()
{
    const auto needed = parser_.body_bytes_needed();
    if (needed <= body_memory_.size()) {
        return true;
    }
    auto& budget = *owner_.memory_.bodies;
    if (budget.try_grow(body_memory_, needed)) {
        parser_.reserve_body(needed);
        return true;
    }
    phase_ = phase::awaiting_memory;
    timer_.start(max_memory_wait);
    memory_waiter_ =
        budget.wait(needed - body_memory_.size(), [this](byte_budget::reservation granted) {
            body_memory_.merge(std::move(granted));
            // Queued, because this runs where another request ends.
            QMetaObject::invokeMethod(
                this, [this] { on_memory_granted(); }, Qt::QueuedConnection);
        });
    return false;
}

void http_connection::on_memory_granted()
{
    if (phase_ != phase::awaiting_memory) {
        return;
    }
    memory_waiter_.reset();
    parser_.reserve_body(body_memory_.size());
    phase_ = phase::reading;
    timer_.start(static_cast<int>(limits_.body_timeout.count()));
    request_begun_ = true;
    advance_request();
    if (phase_ == phase::reading) {
        read_request();
    }
}

void http_connection::refuse_for_memory()
{
    if (!owner_.on_no_memory) {
        refuse(error_code::no_memory, "there is no memory for the request's body",
               retry_after_no_memory);
        return;
    }
    auto request = take_request();
    keep_alive_ = false; // the body is not read
    request.body = {};
    request.memory.reset();
    reply_ = std::make_shared<http_reply>(this);
    owner_.on_no_memory(std::move(request), reply_);
}

http_request http_connection::take_request()
{
    keep_alive_ = parser_.keeps_alive();
    version_11_ = parser_.is_version_11();
    auto out = parser_.take();
    out.memory = std::make_shared<const byte_budget::reservation>(std::move(body_memory_));
    body_memory_ = {};
    memory_waiter_.reset();
    if (pending_.empty()) {
        pending_ = {}; // a connection that waits for its next request keeps no buffer
    }
    is_head_request_ = out.method == "HEAD";
    continue_sent_ = false;
    request_begun_ = false;
    phase_ = phase::answering;
    timer_.stop(); // the answer has no time limit; `write` times callers that don't read
    return out;
}

void http_connection::pass_to_handler()
{
    auto request = take_request();
    const auto state = read_socket_state(static_cast<int>(socket_.socketDescriptor()));
    request.waited = state.since_data;
    if (state.peer_has_closed) {
        owner_.handler_(std::move(request), std::make_shared<http_reply>(nullptr));
        socket_.abort();
        return;
    }
    reply_ = std::make_shared<http_reply>(this);
    owner_.handler_(std::move(request), reply_);
}

} // namespace cedarpoint

#include "io/upstream_call.h"

namespace cedarpoint {
namespace {

/// Largest valid head of an answer, in bytes.
constexpr std::size_t max_answer_head = 65536;

std::string serialize(const http_request& request)
{
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.fields.all()) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    const bool bodiless =
        request.body.empty() && (request.method == "GET" || request.method == "HEAD");
    if (!bodiless) {
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    return out + "Connection: close\r\n\r\n" + request.body;
}

} // namespace

upstream_call::upstream_call(endpoint to, const http_request& request, call_options options,
                             handlers handlers)
    : to_{std::move(to)}, bytes_{serialize(request)}, options_{options},
      handlers_{std::move(handlers)}, socket_{{[this] { on_connected(); },
                                               [this](std::string_view fresh) { read(fresh); },
                                               [this](socket_end how) { on_closed(how); }}},
      parser_{max_answer_head, request.method == "HEAD"}
{
    timer_.setSingleShot(true);
    connect(&timer_, &QTimer::timeout, this, [this] { on_timeout(); });
}

upstream_call::~upstream_call() = default;

void upstream_call::start()
{
    timer_.start(static_cast<int>(options_.connect_timeout.count()));
    socket_.connect_to(to_);
}

void upstream_call::on_connected()
{
    if (ended_) {
        return;
    }
    sending_ = true;
    start_idle_timer();
    if (handlers_.on_sending) {
        handlers_.on_sending();
    }
    socket_.write(bytes_);
    bytes_.clear();
    bytes_.shrink_to_fit();
}

void upstream_call::start_idle_timer()
{
    expired_half_timeouts_ = 0;
    timer_.start(static_cast<int>(options_.idle_timeout.count() / 2));
}

void upstream_call::on_timeout()
{
    if (!sending_) {
        end(call_end::unsent, "connect", "timed out");
    }
    else if (++expired_half_timeouts_ < 2) {
        timer_.start();
    }
    else {
        end(call_end::cut, "read", "timed out");
    }
}

void upstream_call::pause()
{
    paused_ = true;
    socket_.set_reading(false);
    timer_.stop();
}

void upstream_call::resume()
{
    if (!paused_ || ended_) {
        return;
    }
    paused_ = false;
    socket_.set_reading(true);
    start_idle_timer();
}

void upstream_call::cancel()
{
    ended_ = true;
    timer_.stop();
    socket_.reset();
}

void upstream_call::read(std::string_view fresh)
{
    expired_half_timeouts_ = 0; // cheaper than restarting the timer for each token
    parser_.put(fresh);
    if (parser_.is_head_done() && !head_seen_) {
        head_seen_ = true;
        handlers_.on_head(parser_.head());
    }
    if (ended_) {
        return;
    }
    if (auto body = parser_.take_body(); !body.empty()) {
        handlers_.on_body(std::move(body));
    }
    if (ended_) {
        return;
    }
    if (parser_.fault() != http_fault::none) {
        end(call_end::cut, "parse", describe(parser_.fault()));
    }
    else if (parser_.is_done()) {
        end(call_end::complete, "", "");
    }
}

void upstream_call::on_closed(socket_end how)
{
    if (!sending_) {
        // Queued, because `start` may still run.
        QMetaObject::invokeMethod(
            this,
            [this, how] {
                const bool refused = how == socket_end::refused;
                end(call_end::unsent, "connect", refused ? "refused" : "broken");
            },
            Qt::QueuedConnection);
        return;
    }
    // Without a length an answer ends with its connection, but only with one that was closed.
    if (head_seen_ && how == socket_end::orderly) {
        parser_.put_eof();
        if (parser_.is_done()) {
            end(call_end::complete, "", "");
            return;
        }
    }
    end(call_end::cut, "read",
        how == socket_end::orderly ? "the runner closed the connection" : "reset");
}

void upstream_call::end(call_end how, const char* step, const std::string& text)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.stop();
    socket_.close();
    handlers_.on_end(how, {step, to_.str(), text});
}

} // namespace cedarpoint

#include "io/upstream_call.h"

#include <QHostAddress>

namespace cedarpoint {
namespace {

/// Largest valid head of an answer, in bytes.
constexpr std::size_t max_answer_head = 65536;
/// Bytes read ahead of the caller. The bound slows down runners that send faster than the caller
/// reads.
constexpr qint64 read_buffer = 65536;

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
      handlers_{std::move(handlers)}, parser_{max_answer_head, request.method == "HEAD"}
{
    socket_.setReadBufferSize(read_buffer);
    timer_.setSingleShot(true);
    connect(&socket_, &QTcpSocket::connected, this, [this] { on_connected(); });
    connect(&socket_, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&socket_, &QTcpSocket::disconnected, this, [this] { on_closed(); });
    connect(&socket_, &QTcpSocket::errorOccurred, this, [this](QAbstractSocket::SocketError) {
        if (!sending_) {
            end(call_end::unsent, "connect", socket_.errorString().toStdString());
        }
        else if (socket_.error() != QAbstractSocket::RemoteHostClosedError) {
            end(call_end::cut, "read", socket_.errorString().toStdString());
        }
    });
    connect(&timer_, &QTimer::timeout, this, [this] { on_timeout(); });
}

upstream_call::~upstream_call()
{
    socket_.disconnect(this);
}

void upstream_call::start()
{
    timer_.start(static_cast<int>(options_.connect_timeout.count()));
    socket_.connectToHost(QHostAddress{QString::fromStdString(to_.ip)}, to_.port);
}

void upstream_call::on_connected()
{
    if (ended_) {
        return;
    }
    sending_ = true;
    socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    start_idle_timer();
    if (handlers_.on_sending) {
        handlers_.on_sending();
    }
    socket_.write(bytes_.data(), static_cast<qint64>(bytes_.size()));
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
    timer_.stop();
}

void upstream_call::resume()
{
    if (!paused_ || ended_) {
        return;
    }
    paused_ = false;
    start_idle_timer();
    QMetaObject::invokeMethod(
        this,
        [this] {
            read();
            if (socket_.state() == QAbstractSocket::UnconnectedState) {
                on_closed();
            }
        },
        Qt::QueuedConnection);
}

void upstream_call::cancel()
{
    ended_ = true;
    timer_.stop();
    socket_.abort();
}

void upstream_call::read()
{
    if (paused_ || ended_) {
        return;
    }
    const auto fresh = socket_.readAll();
    if (fresh.isEmpty()) {
        return;
    }
    expired_half_timeouts_ = 0; // cheaper than restarting the timer for each token
    parser_.put({fresh.constData(), static_cast<std::size_t>(fresh.size())});
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
        end(call_end::cut, "parse", "not a valid HTTP answer");
    }
    else if (parser_.is_done()) {
        end(call_end::complete, "", "");
    }
}

void upstream_call::on_closed()
{
    if (ended_ || paused_) {
        return; // buffered bytes are read by `resume`
    }
    read();
    if (ended_ || paused_) {
        return;
    }
    if (head_seen_) {
        parser_.put_eof();
    }
    if (head_seen_ && parser_.is_done()) {
        end(call_end::complete, "", "");
        return;
    }
    end(sending_ ? call_end::cut : call_end::unsent, "read", "the runner closed the connection");
}

void upstream_call::end(call_end how, const char* step, const std::string& text)
{
    if (ended_) {
        return;
    }
    ended_ = true;
    timer_.stop();
    socket_.abort();
    handlers_.on_end(how, {step, to_.str(), text});
}

} // namespace cedarpoint

#include "io/runner_connection.h"

#include "io/clock.h"

#include <charconv>
#include <utility>

namespace cedarpoint {
namespace {

/// Largest valid head of an answer, in bytes.
constexpr std::size_t max_answer_head = 65536;
/// Largest sum of answers to earlier requests that are skipped before the one expected, in bytes.
constexpr std::size_t max_skipped = std::size_t{16} << 20;

/// Returns the value of "timeout=N" in a Keep-Alive header.
std::optional<seconds> read_keep_alive(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const auto at = value.find(name);
    if (at == std::string_view::npos) {
        return {};
    }
    value.remove_prefix(at + name.size());
    int out = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
    return error == std::errc{} ? std::optional{seconds{out}} : std::nullopt;
}

} // namespace

runner_connection::runner_connection(endpoint to)
    : to_{std::move(to)}, socket_{{[this] { on_connected(); },
                                   [this](std::string_view fresh) { read(fresh); },
                                   [this](socket_end how) { on_closed(how); }}}
{
    connect_timer_.setSingleShot(true);
    connect(&connect_timer_, &QTimer::timeout, this, [this] { on_connect_timeout(); });
}

runner_connection::~runner_connection() = default;

void runner_connection::on_connected()
{
    connect_timer_.stop();
    connected_at_ = steady_now();
    send();
}

void runner_connection::on_connect_timeout()
{
    if (socket_.has_pending_event()) {
        connect_timer_.start(0); // this process was late
    }
    else {
        end(exchange_end::unsent, "connect", "timed out");
    }
}

bool runner_connection::is_reusable() const
{
    return !unusable_ && !busy_ && socket_.is_connected() && !socket_.has_unwritten();
}

void runner_connection::start(exchange_request request, exchange_handlers handlers)
{
    request_ = std::move(request);
    handlers_ = std::make_shared<const exchange_handlers>(std::move(handlers));
    skipped_ = 0;
    parser_ = std::make_unique<http_response_parser>(max_answer_head, request_.head_only);
    head_seen_ = false;
    foreign_ = false;
    busy_ = true;
    if (socket_.is_connected()) {
        send();
        return;
    }
    connect_timer_.start(static_cast<int>(request_.connect_timeout.count()));
    socket_.connect_to(to_);
}

void runner_connection::send()
{
    if (!busy_) {
        return;
    }
    if (const auto handlers = handlers_; handlers->on_sending) {
        handlers->on_sending();
    }
    if (!busy_) {
        return;
    }
    if (request_.make_bytes) {
        request_.bytes = request_.make_bytes();
    }
    const auto bytes = std::exchange(request_.bytes, {});
    request_.make_bytes = nullptr;
    socket_.write(std::make_shared<const std::string>(bytes.head));
    if (bytes.body != nullptr) {
        socket_.write(bytes.body);
    }
}

void runner_connection::cancel()
{
    busy_ = false;
    unusable_ = true;
    handlers_.reset();
    connect_timer_.stop();
    socket_.reset();
}

void runner_connection::pause(bool paused)
{
    socket_.set_reading(!paused);
}

void runner_connection::read(std::string_view fresh)
{
    if (!busy_) {
        unusable_ = true; // the bytes belong to no request
        socket_.close();
        return;
    }
    pending_.append(fresh);
    while (busy_ && !pending_.empty()) {
        read_answer();
    }
}

void runner_connection::read_answer()
{
    const auto used = parser_->put(pending_);
    pending_.erase(0, used);
    if (parser_->is_head_done() && !head_seen_) {
        take_head();
    }
    if (!busy_) {
        return;
    }
    skipped_ += foreign_ ? used : 0;
    if (skipped_ > max_skipped) {
        end(exchange_end::cut, "parse", "answers to other requests without end");
        return;
    }
    if (auto body = parser_->take_body(); !body.empty() && !foreign_) {
        const auto handlers = handlers_;
        handlers->on_body(std::move(body));
    }
    if (!busy_) {
        return;
    }
    if (parser_->fault() != http_fault::none) {
        unusable_ = true;
        end(exchange_end::cut, "parse", describe(parser_->fault()));
        return;
    }
    if (!parser_->is_done()) {
        return;
    }
    if (foreign_) {
        parser_ = std::make_unique<http_response_parser>(max_answer_head, request_.head_only);
        head_seen_ = false;
        foreign_ = false;
        return;
    }
    // Not reusable if bytes follow the answer, which belong to no request, or if the body of this
    // request is not written completely, since the next request would follow it.
    unusable_ = unusable_ || !pending_.empty() || socket_.has_unwritten();
    end(exchange_end::complete, "", "");
}

bool runner_connection::is_foreign(const http_head& head) const
{
    const auto echoed = head.fields.get(request_.id_header);
    return !request_.id_header.empty() && !echoed.empty() && echoed != request_.id;
}

void runner_connection::take_head()
{
    head_seen_ = true;
    const auto head = parser_->head();
    if (equal_ignoring_case(head.fields.get("Connection"), "close")) {
        unusable_ = true;
    }
    if (head.fields.has("Keep-Alive")) {
        keep_alive_ = read_keep_alive(head.fields.get("Keep-Alive"));
    }
    foreign_ = is_foreign(head);
    if (!foreign_) {
        const auto handlers = handlers_;
        handlers->on_head(head);
    }
}

void runner_connection::on_closed(socket_end how)
{
    unusable_ = true;
    if (!busy_) {
        return;
    }
    if (connect_timer_.isActive()) {
        const bool refused = how == socket_end::refused;
        end(refused ? exchange_end::refused : exchange_end::unsent, "connect",
            refused ? "refused" : "broken");
        return;
    }
    if (how == socket_end::orderly && head_seen_ && !foreign_) {
        parser_->put_eof();
        if (parser_->is_done()) {
            ended_with_connection_ = true;
            end(exchange_end::complete, "", "");
            return;
        }
    }
    end(exchange_end::cut, "read",
        how == socket_end::orderly ? "the runner closed the connection" : "reset");
}

void runner_connection::end(exchange_end how, const char* step, const std::string& text)
{
    if (!busy_) {
        return;
    }
    busy_ = false;
    ++served_;
    idle_since_ = steady_now();
    connect_timer_.stop();
    if (how != exchange_end::complete) {
        unusable_ = true;
        socket_.close();
    }
    socket_.set_reading(true); // the exchange may have ended while it was paused
    // A connection that waits in the pool keeps no buffers.
    pending_ = {};
    parser_.reset();
    const auto handlers = std::exchange(handlers_, {});
    handlers->on_end(how, {step, to_.str(), text});
}

} // namespace cedarpoint

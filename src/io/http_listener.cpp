#include "io/http_listener.h"

#include "io/header_rules.h"
#include "io/http_connection.h"
#include "io/listen_step.h"
#include "io/socket_state.h"

namespace cedarpoint {

byte_budget::limits body_budget_limits(std::size_t bytes)
{
    /// Bodies of up to this size are read even while large ones wait.
    constexpr std::size_t small_body = 65536;
    /// The part of the budget that only small ones get.
    constexpr std::size_t small_part = 32;
    return {.all = bytes, .for_large = bytes - bytes / small_part, .small = small_body};
}

http_reply::~http_reply() = default;

void http_reply::send(http_head head, std::string body)
{
    begun_ = true;
    if (connection_ != nullptr) {
        connection_->send(std::move(head), std::move(body));
    }
}

void http_reply::begin(http_head head, std::optional<std::uint64_t> length)
{
    begun_ = true;
    if (connection_ != nullptr) {
        connection_->begin(std::move(head), length);
    }
}

void http_reply::write(std::string bytes)
{
    if (connection_ != nullptr) {
        connection_->write(std::move(bytes));
    }
}

void http_reply::finish()
{
    if (connection_ != nullptr) {
        connection_->finish();
    }
}

void http_reply::abort()
{
    if (connection_ != nullptr) {
        connection_->abort();
    }
}

std::size_t http_reply::buffered() const
{
    return connection_ == nullptr ? 0 : connection_->buffered();
}

http_listener::http_listener(caller_limits limits, http_handler handler, listener_memory memory)
    : limits_{limits}, handler_{std::move(handler)}, memory_{std::move(memory)}
{
    if (memory_.bodies == nullptr) {
        memory_.bodies =
            std::make_shared<byte_budget>(body_budget_limits(limits_.max_bodies_bytes));
    }
    if (memory_.unwritten == nullptr) {
        memory_.unwritten = std::make_shared<byte_account>();
    }
    setListenBacklogSize(1024);
}

http_listener::~http_listener()
{
    for (auto* it : std::set<http_connection*>{open_}) {
        delete it;
    }
}

bool http_listener::start(const endpoint& at, reason& why)
{
    if (!listen(QHostAddress{QString::fromStdString(at.ip)}, at.port)) {
        const bool in_use = serverError() == QAbstractSocket::AddressInUseError;
        why = {in_use ? listen_in_use_step : listen_step, at.str(), errorString().toStdString()};
        return false;
    }
    bound_receive_buffer(static_cast<int>(socketDescriptor()));
    return true;
}

endpoint http_listener::address() const
{
    return {serverAddress().toString().toStdString(), serverPort()};
}

void http_listener::stop()
{
    // Connections that wait in the backlog would be reset.
    while (waitForNewConnection(0)) {
    }
    stopping_ = true;
    close();
    for (auto* it : std::set<http_connection*>{open_}) {
        it->close_when_idle();
    }
}

void http_listener::incomingConnection(qintptr descriptor)
{
    if (open_.size() >= limits_.max_connections) {
        QTcpSocket socket;
        socket.setSocketDescriptor(descriptor);
        const refusal error{error_code::too_many_connections, run_state::not_run,
                            "too many connections", milliseconds{1000}};
        http_head head{describe(error.code).status, {}};
        const auto body = to_json(error, "");
        head.fields.add("Connection", "close");
        head.fields.add(retry_after_field, "1");
        head.fields.add("Content-Length", std::to_string(body.size()));
        const auto bytes = serialize_head(head) + body;
        socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
        socket.flush();
        if (on_refused) {
            on_refused(error.code);
        }
        return;
    }
    open_.insert(new http_connection{*this, descriptor});
}

} // namespace cedarpoint

#include "io/http_listener.h"

#include "io/header_rules.h"
#include "io/http_connection.h"
#include "io/listen_step.h"

namespace cedarpoint {

http_reply::~http_reply() = default;

void http_reply::send(http_head head, const std::string& body)
{
    begun_ = true;
    if (connection_ != nullptr) {
        connection_->send(std::move(head), body);
    }
}

void http_reply::begin(http_head head)
{
    begun_ = true;
    if (connection_ != nullptr) {
        connection_->begin(std::move(head));
    }
}

void http_reply::write(const std::string& bytes)
{
    if (connection_ != nullptr) {
        connection_->write(bytes);
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

http_listener::http_listener(caller_limits limits, http_handler handler)
    : limits_{limits}, handler_{std::move(handler)}
{
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

#include "soak/loopback_proxy.h"

#include "io/socket_state.h"

#include <QTimer>

#include <deque>
#include <sys/socket.h>

namespace cedarpoint::testing_support {

/// One connection through the proxy.
struct loopback_proxy::connection {
    QTcpSocket* caller_socket = nullptr;
    QTcpSocket target_socket;
    /// Bytes whose delay has not passed yet.
    std::deque<QByteArray> to_caller;
    std::deque<QByteArray> to_target;
};

loopback_proxy::loopback_proxy(const endpoint& source, endpoint target)
    : source_address_{source}, target_address_{std::move(target)}
{
    server_.listen(QHostAddress{QString::fromStdString(source.ip)}, source.port);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
}

loopback_proxy::~loopback_proxy()
{
    for (const auto& it : connections_) {
        it->caller_socket->disconnect();
        it->target_socket.disconnect();
    }
}

void loopback_proxy::accept()
{
    const auto accepted = std::make_shared<connection>();
    accepted->caller_socket = server_.nextPendingConnection();
    const std::weak_ptr<connection> weak_connection = accepted;
    const auto connect_signals = [this, weak_connection](QTcpSocket& socket, bool from_caller) {
        QObject::connect(&socket, &QTcpSocket::readyRead, [this, weak_connection, from_caller] {
            if (const auto it = weak_connection.lock()) {
                relay(it, from_caller);
            }
        });
        QObject::connect(&socket, &QTcpSocket::disconnected, [weak_connection, from_caller] {
            if (const auto it = weak_connection.lock()) {
                (from_caller ? it->target_socket : *it->caller_socket).disconnectFromHost();
            }
        });
    };
    connect_signals(*accepted->caller_socket, true);
    connect_signals(accepted->target_socket, false);
    QObject::connect(&accepted->target_socket, &QTcpSocket::connected, [this, weak_connection] {
        if (const auto it = weak_connection.lock()) {
            relay(it, true);
        }
    });
    QObject::connect(&accepted->target_socket, &QTcpSocket::errorOccurred, [weak_connection] {
        if (const auto it = weak_connection.lock()) {
            it->caller_socket->abort();
        }
    });
    accepted->target_socket.connectToHost(QHostAddress{QString::fromStdString(target_address_.ip)},
                                          target_address_.port);
    connections_.push_back(accepted);
}

void loopback_proxy::relay(const std::shared_ptr<connection>& it, bool from_caller)
{
    if (stalled_ || (caller_blocked_ && from_caller)) {
        return;
    }
    auto& from = from_caller ? *it->caller_socket : it->target_socket;
    auto& to = from_caller ? it->target_socket : *it->caller_socket;
    if (to.state() != QAbstractSocket::ConnectedState) {
        return;
    }
    const auto bytes = from.readAll();
    if (bytes.isEmpty()) {
        return;
    }
    auto& delayed = from_caller ? it->to_target : it->to_caller;
    if (delay_ms_ == 0 && delayed.empty()) {
        to.write(bytes);
        return;
    }
    // Each timer forwards the oldest bytes, so that they stay in order when the delay changes.
    delayed.push_back(bytes);
    const std::weak_ptr<connection> weak_connection = it;
    QTimer::singleShot(delay_ms_, &to, [&to, weak_connection, from_caller] {
        if (const auto open = weak_connection.lock()) {
            auto& oldest_first = from_caller ? open->to_target : open->to_caller;
            to.write(oldest_first.front());
            oldest_first.pop_front();
        }
    });
}

void loopback_proxy::set_stalled(bool stalled)
{
    stalled_ = stalled;
    for (const auto& it : std::vector(connections_)) {
        relay(it, true);
        relay(it, false);
    }
}

void loopback_proxy::set_accepting(accepting_t accepting)
{
    if (accepting == std::exchange(accepting_, accepting)) {
        return;
    }
    queue_fillers_.clear();
    if (accepting == accepting_t::refuses) {
        server_.close();
        return;
    }
    if (!server_.isListening()) {
        server_.listen(QHostAddress{QString::fromStdString(source_address_.ip)},
                       source_address_.port);
    }
    if (accepting == accepting_t::hangs) {
        fill_backlog();
    }
    else {
        ::listen(static_cast<int>(server_.socketDescriptor()), server_.listenBacklogSize());
        server_.resumeAccepting();
    }
}

void loopback_proxy::fill_backlog()
{
    server_.pauseAccepting();
    ::listen(static_cast<int>(server_.socketDescriptor()), 0);
    // A queue of length 0 takes one connection.
    queue_fillers_.push_back(std::make_unique<QTcpSocket>());
    queue_fillers_.back()->connectToHost(server_.serverAddress(), server_.serverPort());
    queue_fillers_.back()->waitForConnected();
}

void loopback_proxy::reset_connections()
{
    for (const auto& it : std::exchange(connections_, {})) {
        for (auto* socket : {it->caller_socket, &it->target_socket}) {
            socket->disconnect();
            reset_on_close(static_cast<int>(socket->socketDescriptor()));
            socket->abort();
        }
        it->caller_socket->deleteLater();
    }
}

} // namespace cedarpoint::testing_support

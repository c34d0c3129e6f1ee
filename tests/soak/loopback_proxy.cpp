#include "soak/loopback_proxy.h"

#include <QTimer>

#include <sys/socket.h>

namespace cedarpoint::testing_support {

/// One connection through the proxy.
struct loopback_proxy::link {
    QTcpSocket* caller = nullptr;
    QTcpSocket callee;
};

loopback_proxy::loopback_proxy(const endpoint& from, endpoint to) : to_{std::move(to)}
{
    server_.listen(QHostAddress{QString::fromStdString(from.ip)}, from.port);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
}

loopback_proxy::~loopback_proxy()
{
    for (const auto& each : links_) {
        each->caller->disconnect();
        each->callee.disconnect();
    }
}

void loopback_proxy::accept()
{
    const auto each = std::make_shared<link>();
    each->caller = server_.nextPendingConnection();
    const std::weak_ptr<link> weak = each;
    const auto on_both = [this, weak](QTcpSocket& socket, bool from_caller) {
        QObject::connect(&socket, &QTcpSocket::readyRead, [this, weak, from_caller] {
            if (const auto open = weak.lock()) {
                pass(open, from_caller);
            }
        });
        QObject::connect(&socket, &QTcpSocket::disconnected, [weak, from_caller] {
            if (const auto open = weak.lock()) {
                (from_caller ? open->callee : *open->caller).disconnectFromHost();
            }
        });
    };
    on_both(*each->caller, true);
    on_both(each->callee, false);
    QObject::connect(&each->callee, &QTcpSocket::connected, [this, weak] {
        if (const auto open = weak.lock()) {
            pass(open, true);
        }
    });
    QObject::connect(&each->callee, &QTcpSocket::errorOccurred, [weak] {
        if (const auto open = weak.lock()) {
            open->caller->abort();
        }
    });
    each->callee.connectToHost(QHostAddress{QString::fromStdString(to_.ip)}, to_.port);
    links_.push_back(each);
}

void loopback_proxy::pass(const std::shared_ptr<link>& each, bool from_caller)
{
    if (silent_ || (one_way_ && from_caller)) {
        return;
    }
    auto& from = from_caller ? *each->caller : each->callee;
    auto& to = from_caller ? each->callee : *each->caller;
    if (to.state() != QAbstractSocket::ConnectedState) {
        return;
    }
    const auto bytes = from.readAll();
    if (bytes.isEmpty()) {
        return;
    }
    if (delay_ms_ == 0) {
        to.write(bytes);
        return;
    }
    QTimer::singleShot(delay_ms_, &to, [&to, bytes] { to.write(bytes); });
}

void loopback_proxy::set_silent(bool silent)
{
    silent_ = silent;
    for (const auto& each : std::vector(links_)) {
        pass(each, true);
        pass(each, false);
    }
}

void loopback_proxy::reset_all()
{
    for (const auto& each : std::exchange(links_, {})) {
        for (auto* socket : {each->caller, &each->callee}) {
            socket->disconnect();
            const linger at_once{1, 0};
            ::setsockopt(static_cast<int>(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER,
                         &at_once, sizeof at_once);
            socket->abort();
        }
        each->caller->deleteLater();
    }
}

} // namespace cedarpoint::testing_support

#include "fleet/unframed_front.h"

#include <QHostAddress>

#include <gtest/gtest.h>

namespace cedarpoint::testing_support {

unframed_front::unframed_front(const endpoint& at, endpoint server) : server_{std::move(server)}
{
    connect(this, &QTcpServer::newConnection, [this] { accept(); });
    EXPECT_TRUE(listen(QHostAddress{QString::fromStdString(at.ip)}, at.port))
        << errorString().toStdString();
}

unframed_front::~unframed_front()
{
    close();
    for (auto* each : std::set<QTcpSocket*>{open_}) {
        each->disconnect();
        delete each;
    }
}

void unframed_front::accept()
{
    while (auto* caller = nextPendingConnection()) {
        auto* server = new QTcpSocket;
        caller->setParent(nullptr);
        open_.insert({caller, server});
        server->connectToHost(QString::fromStdString(server_.ip), server_.port);
        connect(caller, &QTcpSocket::readyRead, server, [caller, server] {
            server->write(caller->readAll().replace(" HTTP/1.1\r\n", " HTTP/1.0\r\n"));
        });
        connect(server, &QTcpSocket::readyRead, caller,
                [caller, server] { caller->write(server->readAll()); });
        const auto connect_end = [this](QTcpSocket* one, QTcpSocket* other) {
            connect(one, &QTcpSocket::disconnected, other, [this, one, other] {
                open_.erase(one);
                one->deleteLater();
                other->disconnectFromHost();
            });
        };
        connect_end(server, caller);
        connect_end(caller, server);
    }
}

} // namespace cedarpoint::testing_support

#include "fleet/runner_front.h"

#include <QHostAddress>

#include <gtest/gtest.h>

namespace cedarpoint::testing_support {

runner_front::runner_front(const endpoint& at, endpoint server, options options)
    : server_{std::move(server)}, options_{std::move(options)}
{
    connect(this, &QTcpServer::newConnection, [this] { accept(); });
    EXPECT_TRUE(listen(QHostAddress{QString::fromStdString(at.ip)}, at.port))
        << errorString().toStdString();
}

runner_front::~runner_front()
{
    close();
    for (auto* each : std::set<QTcpSocket*>{open_}) {
        each->disconnect();
        delete each;
    }
}

void runner_front::accept()
{
    while (auto* caller = nextPendingConnection()) {
        auto* server = new QTcpSocket;
        caller->setParent(nullptr);
        open_.insert({caller, server});
        server->connectToHost(QString::fromStdString(server_.ip), server_.port);
        connect(caller, &QTcpSocket::readyRead, server, [this, caller, server] {
            auto bytes = caller->readAll();
            server->write(options_.unframed ? bytes.replace(" HTTP/1.1\r\n", " HTTP/1.0\r\n")
                                            : bytes);
        });
        connect(server, &QTcpSocket::readyRead, caller, [this, caller, server] {
            auto bytes = server->readAll();
            if (bytes.startsWith("HTTP/1.")) {
                bytes.insert(bytes.indexOf("\r\n") + 2, options_.added_lines.c_str());
            }
            caller->write(bytes);
        });
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

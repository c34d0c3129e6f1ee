#include "support/raw_runner.h"

#include <utility>

namespace cedarpoint::testing_support {

raw_runner::raw_runner(script script) : script_{std::move(script)}
{
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] {
        auto* socket = server_.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] { answer(*socket); });
    });
}

void raw_runner::answer(QTcpSocket& socket)
{
    const auto [bytes, closes] = script_(socket.readAll().toStdString());
    ++answered_;
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
    if (closes) {
        socket.disconnectFromHost();
    }
}

} // namespace cedarpoint::testing_support

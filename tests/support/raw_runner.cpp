#include "support/raw_runner.h"

#include <memory>
#include <utility>

namespace cedarpoint::testing_support {
namespace {

constexpr std::size_t max_head = 65536;
constexpr std::size_t max_body = 65536;

} // namespace

raw_runner::raw_runner(script script) : script_{std::move(script)}
{
    server_.listen(QHostAddress::LocalHost);
    QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
}

void raw_runner::accept()
{
    while (auto* socket = server_.nextPendingConnection()) {
        const auto parser = std::make_shared<http_request_parser>(max_head, max_body);
        QObject::connect(socket, &QTcpSocket::readyRead,
                         [this, socket, parser] { read(*socket, *parser); });
    }
}

void raw_runner::read(QTcpSocket& socket, http_request_parser& parser) const
{
    parser.put(socket.readAll().toStdString());
    if (!parser.is_done()) {
        return; // head and body may arrive in two reads
    }
    const auto [bytes, closes] = script_(parser.take());
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
    if (closes) {
        socket.disconnectFromHost();
    }
}

} // namespace cedarpoint::testing_support

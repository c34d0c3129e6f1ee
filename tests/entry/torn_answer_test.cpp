// A runner that ends halfway through an answer without a length.

#include "daemon/site.h"
#include "fleet/fleet_site.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>

namespace cedarpoint {
namespace {

using testing_support::call;
using testing_support::fleet_site;
using testing_support::wait_until;

const std::string document = R"({"version":1,
    "routes":[{"name":"hold","host":"h.example","pathPrefix":"/hold/","kind":"safe",
               "timeoutMs":4000,"service":"shop","maxAttempts":1,"public":true},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":4000,"service":"shop","maxAttempts":1,"public":true}],
    "services":[{"name":"shop"}]})";

/// Answers "/once/" with half of an answer without a length and keeps all other requests waiting.
class halfway_runner {
public:
    halfway_runner()
    {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, [this] {
            auto* socket = server_.nextPendingConnection();
            socket->setParent(nullptr);
            open_.emplace(socket, std::unique_ptr<QTcpSocket>{socket});
            QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] { read(*socket); });
        });
    }
    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.serverPort()}; }
    [[nodiscard]] int waiting() const { return waiting_; }
    /// The process ends with its next answer, while the ends of its other connections are delayed.
    bool ends_with_answer = false;

private:
    void read(QTcpSocket& socket)
    {
        const auto request = socket.readAll();
        if (!request.contains("/once/")) {
            ++waiting_;
            return;
        }
        const auto at = request.indexOf("X-Cedarpoint-Request-Id: ");
        const auto id = request.mid(at, request.indexOf("\r\n", at) - at);
        socket.write("HTTP/1.1 200 OK\r\nX-Cedarpoint-Instance-Signature: s\r\n" + id +
                     "\r\n\r\nhalf");
        socket.flush();
        if (ends_with_answer) {
            server_.close();
        }
        socket.disconnectFromHost();
    }

    QTcpServer server_;
    std::map<QTcpSocket*, std::unique_ptr<QTcpSocket>> open_;
    int waiting_ = 0;
};

class an_answer_that_ends_with_its_connection : public testing::Test {
protected:
    an_answer_that_ends_with_its_connection()
    {
        EXPECT_EQ(site.put(document), 200);
        EXPECT_TRUE(wait_until([&] { return announce() == 200; }));
        // A request that waits keeps a second connection to the runner open.
        held = std::make_unique<runner_connection>(site.callers());
        exchange_request request;
        request.bytes = "GET /hold/x HTTP/1.1\r\nHost: h.example\r\n\r\n";
        exchange_handlers handlers;
        handlers.on_head = [](const http_head&) {};
        handlers.on_body = [](const std::string&) {};
        handlers.on_end = [](exchange_end, const reason&) {};
        EXPECT_TRUE(wait_until([&] { return call_once().head.status == 200; }));
        held->start(std::move(request), std::move(handlers));
        EXPECT_TRUE(wait_until([&] { return runner.waiting() > 0; }));
    }
    int announce()
    {
        const auto body =
            fmt::format(R"({{"service":"shop","address":"{}","zone":"z","slots":4,"version":"v1",)"
                        R"("state":"ready","coldRemainingMs":0,"sequence":{},"domain":"z-d0"}})",
                        runner.address().str(), ++sequence);
        const auto leader = site.leader();
        return leader ? call(site.controls().at(*leader), "POST",
                             "/cedarpoint/instances/s-1/heartbeat", "", body)
                            .head.status
                      : 0;
    }
    testing_support::http_answer call_once()
    {
        announce();
        return call(site.callers(), "POST", "/once/x",
                    "X-Cedarpoint-Request-Id: r1\r\nX-Cedarpoint-Deadline-Ms: 4000\r\n", "b");
    }

    fleet_site site;
    halfway_runner runner;
    std::unique_ptr<runner_connection> held;
    int sequence = 0;
};

// Guards against half of an answer that is taken for complete because another connection to the
// runner, whose end is on its way, is still open.
TEST_F(an_answer_that_ends_with_its_connection, is_cut_if_the_runner_has_ended_too)
{
    const auto whole = call_once();
    EXPECT_EQ(whole.head.status, 200);
    EXPECT_EQ(whole.body, "half");
    runner.ends_with_answer = true;
    EXPECT_EQ(call_once().head.status, 502);
}

} // namespace
} // namespace cedarpoint

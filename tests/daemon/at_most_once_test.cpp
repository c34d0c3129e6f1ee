// Guarantees: a request marked as not repeatable runs at most once, and an error that says "not
// run" means that no runner executed the request.

#include "daemon/site.h"

#include <QTcpServer>

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using namespace testing_support;

/// Accepts connections, counts complete requests, and closes the connection at a chosen moment.
class closing_server {
public:
    enum class close_point { before_reading, after_reading, in_head, in_body };

    explicit closing_server(close_point point) : close_point_{point}
    {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, [this] { accept(); });
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.serverPort()}; }
    [[nodiscard]] int requests() const { return requests_; }
    [[nodiscard]] int connections() const { return connections_; }

private:
    void accept()
    {
        auto* socket = server_.nextPendingConnection();
        ++connections_;
        if (close_point_ == close_point::before_reading) {
            socket->abort();
            socket->deleteLater();
            return;
        }
        QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] {
            if (!socket->readAll().contains("\r\n\r\n")) {
                return;
            }
            ++requests_;
            if (close_point_ == close_point::in_head) {
                socket->write("HTTP/1.1 200 OK\r\nContent-");
            }
            else if (close_point_ == close_point::in_body) {
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
            }
            socket->disconnectFromHost();
        });
        QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
    }

    close_point close_point_;
    QTcpServer server_;
    int requests_ = 0;
    int connections_ = 0;
};

/// Replaces the address of the site's shop service.
void set_shop_address(site& fixture, const endpoint& address)
{
    auto text = fixture.declarative_file(1, "other-shop", 1);
    const auto old_address = fixture.shop().address().str();
    text.replace(text.find(old_address), old_address.size(), address.str());
    ASSERT_TRUE(fixture.apply(text));
    ASSERT_TRUE(wait_until([&] {
        return fixture.running_daemon().requests().config()->change.str() == "other-shop";
    }));
}

TEST(a_runner_that_closes, gets_a_not_repeatable_request_once_at_every_stage)
{
    using close_point = closing_server::close_point;
    for (const auto point : {close_point::before_reading, close_point::after_reading,
                             close_point::in_head, close_point::in_body}) {
        for (const auto* method : {"GET", "POST"}) {
            site fixture{{}};
            closing_server shop{point};
            set_shop_address(fixture, shop.address());
            raw_caller caller{fixture.callers()};
            caller.send(
                plain_request(method, "/shop/buy", "Cedarpoint-Not-Repeatable: true\r\n", ""));
            ASSERT_TRUE(caller.wait_for("\"ran\":\"may have run\""))
                << method << ", close point " << static_cast<int>(point) << ": "
                << caller.received();
            EXPECT_EQ(shop.connections(), 1)
                << method << ", close point " << static_cast<int>(point);
            EXPECT_LE(shop.requests(), 1);
            // The caller's connection remains usable.
            caller.send(plain_request("GET", "/v1/models", "", ""));
            EXPECT_TRUE(caller.wait_for("\"list\""));
        }
    }
}

TEST(a_service_post, is_not_repeated_unless_it_was_not_run)
{
    site fixture{{}};
    fixture.shop().fail_next(fault_stage::after_request, 1);
    raw_caller caller{fixture.callers()};
    caller.send(plain_request("POST", "/shop/buy", "", "one pot"));
    ASSERT_TRUE(caller.wait_for("\"ran\":\"may have run\""));
    EXPECT_EQ(fixture.arrivals("one pot"), 1);
}

TEST(an_unreachable_runner, leaves_the_request_not_run)
{
    site fixture{{}};
    endpoint unused_address;
    {
        QTcpServer server;
        server.listen(QHostAddress::LocalHost);
        unused_address = {"127.0.0.1", server.serverPort()};
    }
    set_shop_address(fixture, unused_address);
    raw_caller caller{fixture.callers()};
    caller.send(plain_request("POST", "/shop/buy", "", "one pot"));
    ASSERT_TRUE(caller.wait_for("\"ran\":\"not run\""));
    EXPECT_NE(caller.received().find("Retry-After"), std::string::npos);
}

TEST(a_claimed_key, runs_once_and_is_reported_as_run_after_a_restart)
{
    site fixture{{}};
    const std::string headers = "Idempotency-Key: order-17\r\n";
    raw_caller first{fixture.callers()};
    first.send(plain_request("POST", "/shop/buy", headers, "one pot"));
    ASSERT_TRUE(first.wait_for("\"run\":1"));

    raw_caller repeated{fixture.callers()};
    repeated.send(plain_request("POST", "/shop/buy", headers, "one pot"));
    ASSERT_TRUE(repeated.wait_for("already_ran"));

    fixture.restart();
    raw_caller after_restart{fixture.callers()};
    after_restart.send(plain_request("POST", "/shop/buy", headers, "one pot"));
    ASSERT_TRUE(after_restart.wait_for("already_ran"));
    EXPECT_NE(after_restart.received().find("\"ran\":\"ran\""), std::string::npos);
    EXPECT_EQ(fixture.arrivals("one pot"), 1);
}

TEST(a_claimed_key, whose_daemon_restarted_during_the_run_may_have_run)
{
    site fixture{{}};
    ASSERT_TRUE(fixture.wait_serving());
    const chat_options options{
        .tokens = 100'000,
        .headers = "Idempotency-Key: note-4\r\nCedarpoint-Not-Repeatable: true\r\n"};
    raw_caller first{fixture.callers()};
    first.send(chat_request(options));
    ASSERT_TRUE(first.wait_for("t3 "));
    fixture.restart(); // not a planned stop, so the end of the claim is not reported
    raw_caller repeated{fixture.callers()};
    repeated.send(chat_request(options));
    ASSERT_TRUE(repeated.wait_for("\"ran\":\"may have run\""));
    EXPECT_EQ(fixture.arrivals("why"), 1);
}

TEST(two_callers_with_one_key, get_one_run)
{
    site fixture{{}};
    ASSERT_TRUE(fixture.wait_serving());
    const chat_options options{
        .tokens = 40, .headers = "Idempotency-Key: note-5\r\nCedarpoint-Not-Repeatable: true\r\n"};
    raw_caller first{fixture.callers()};
    raw_caller second{fixture.callers()};
    first.send(chat_request(options));
    second.send(chat_request(options));
    ASSERT_TRUE(first.wait_for("\r\n\r\n"));
    ASSERT_TRUE(second.wait_for("\r\n\r\n"));
    const bool first_ran = status_of(first.received()) == 200;
    EXPECT_EQ(status_of(first.received()) + status_of(second.received()), 200 + 409);
    ASSERT_TRUE((first_ran ? first : second).wait_for("[DONE]"));
    EXPECT_EQ(fixture.arrivals("why"), 1);
}

} // namespace
} // namespace cedarpoint

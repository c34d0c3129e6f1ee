#include "daemon/site.h"
#include "io/upstream_call.h"

#include <QTcpServer>

#include <gtest/gtest.h>

namespace cedarpoint {
namespace {

using testing_support::wait_until;

TEST(a_call, to_a_runner_that_stops_sending_ends_as_cut)
{
    QTcpServer silent_server;
    ASSERT_TRUE(silent_server.listen(QHostAddress::LocalHost));
    std::optional<call_end> end;
    reason why;
    upstream_call::handlers handlers;
    handlers.on_end = [&](call_end reported_end, const reason& cause) {
        end = reported_end;
        why = cause;
    };
    const endpoint to{"127.0.0.1", silent_server.serverPort()};
    upstream_call it{
        to, {"GET", "/", {}, {}}, {milliseconds{2000}, milliseconds{100}}, std::move(handlers)};
    it.start();
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(*end, call_end::cut);
    EXPECT_EQ(why.step, "read");
    EXPECT_EQ(why.peer, to.str());
}

TEST(a_call, that_is_paused_does_not_time_out)
{
    QTcpServer partial_server;
    ASSERT_TRUE(partial_server.listen(QHostAddress::LocalHost));
    QObject::connect(&partial_server, &QTcpServer::newConnection, [&] {
        auto* socket = partial_server.nextPendingConnection();
        socket->write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
    });
    std::optional<call_end> end;
    std::string body;
    upstream_call::handlers handlers;
    upstream_call* call = nullptr;
    handlers.on_head = [](const http_head&) {};
    handlers.on_body = [&](const std::string& bytes) {
        body += bytes;
        call->pause();
    };
    handlers.on_end = [&](call_end reported_end, const reason&) { end = reported_end; };
    upstream_call it{{"127.0.0.1", partial_server.serverPort()},
                     {"GET", "/", {}, {}},
                     {milliseconds{2000}, milliseconds{60}},
                     std::move(handlers)};
    call = &it;
    it.start();
    ASSERT_TRUE(wait_until([&] { return body == "ab"; }));
    QTimer timer;
    bool elapsed = false;
    timer.singleShot(300, [&] { elapsed = true; });
    ASSERT_TRUE(wait_until([&] { return elapsed; }));
    EXPECT_FALSE(end.has_value());
    it.resume();
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(*end, call_end::cut);
}

} // namespace
} // namespace cedarpoint

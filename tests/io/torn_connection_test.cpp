// Connections that are reset or whose peer ends halfway through an answer without a length, which
// only the way in which the connection ends tells from a whole one.

#include "daemon/site.h"
#include "io/http_listener.h"
#include "io/socket_state.h"
#include "io/stream_socket.h"
#include "io/upstream_call.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <gtest/gtest.h>
#include <thread>

namespace cedarpoint {
namespace {

using testing_support::wait_until;

const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhalf";

void reset_connection(QTcpSocket& of)
{
    reset_on_close(static_cast<int>(of.socketDescriptor()));
    of.abort();
}

/// A connection of a stream_socket to a server in this process.
class a_connection : public testing::Test {
protected:
    a_connection()
        : socket{{[this] { connected = true; },
                  [this](std::string_view fresh) { received += fresh; },
                  [this](socket_end how) { end = how; }}}
    {
        server.listen(QHostAddress::LocalHost);
        socket.connect_to({"127.0.0.1", server.serverPort()});
        EXPECT_TRUE(wait_until([&] { return connected && server.hasPendingConnections(); }));
        peer = server.nextPendingConnection();
    }
    void send_from_peer(const std::string& bytes) const
    {
        peer->write(bytes.c_str());
        peer->flush();
    }
    /// Waits, without running the event loop, until the kernel has handled what was sent.
    static void wait_for_kernel() { std::this_thread::sleep_for(std::chrono::milliseconds{50}); }

    QTcpServer server;
    QTcpSocket* peer = nullptr;
    bool connected = false;
    std::string received;
    std::optional<socket_end> end;
    stream_socket socket;
};

// Guards against a reset that a write finds first: the next read took it for an orderly end.
TEST_F(a_connection, whose_reset_is_found_by_a_write_ends_as_reset)
{
    send_from_peer(unframed);
    wait_for_kernel();
    reset_connection(*peer);
    wait_for_kernel();
    socket.write("the rest of a long request");
    socket.write("and more");
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(received, unframed) << "bytes that arrived before the reset are delivered";
    EXPECT_EQ(*end, socket_end::reset);
}

TEST_F(a_connection, whose_reset_is_found_by_a_read_ends_as_reset)
{
    send_from_peer(unframed);
    wait_for_kernel();
    reset_connection(*peer);
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(*end, socket_end::reset);
}

// Guards against a reset that a look at the socket takes away, so that it ends orderly.
TEST_F(a_connection, whose_reset_is_looked_at_first_ends_as_reset)
{
    EXPECT_FALSE(socket.has_pending_event());
    send_from_peer(unframed);
    ASSERT_TRUE(wait_until([&] { return received == unframed; }));
    reset_connection(*peer);
    wait_for_kernel();
    EXPECT_TRUE(socket.has_pending_event());
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(*end, socket_end::reset);
}

// Guards against a complete answer that is lost because the peer, after its end, rejects the rest
// of the request.
TEST_F(a_connection, that_was_closed_before_it_rejected_bytes_ends_orderly)
{
    send_from_peer(unframed);
    peer->disconnectFromHost();
    delete peer;
    wait_for_kernel();
    socket.write("the rest of a long request");
    wait_for_kernel();
    socket.write("and more");
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(received, unframed);
    EXPECT_EQ(*end, socket_end::orderly);
}

struct call_result {
    std::optional<call_end> end;
    std::string body;
};

call_result call_server(QTcpServer& server, const std::function<void(QTcpSocket&)>& finish)
{
    server.listen(QHostAddress::LocalHost);
    QObject::connect(&server, &QTcpServer::newConnection, [&server, finish] {
        auto* peer = server.nextPendingConnection();
        QObject::connect(peer, &QTcpSocket::readyRead, [peer, finish] {
            peer->readAll();
            peer->write(unframed.c_str());
            peer->flush();
            finish(*peer);
        });
    });
    call_result out;
    upstream_call::handlers handlers;
    handlers.on_head = [](const http_head&) {};
    handlers.on_body = [&](const std::string& bytes) { out.body += bytes; };
    handlers.on_end = [&](call_end how, const reason&) { out.end = how; };
    upstream_call it{
        {"127.0.0.1", server.serverPort()}, {"GET", "/", {}, {}}, {}, std::move(handlers)};
    it.start();
    EXPECT_TRUE(wait_until([&] { return out.end.has_value(); }));
    return out;
}

// Guards against half of an answer that a daemon with a list of peers passes on as complete.
TEST(an_answer_without_a_length, is_cut_by_a_reset_and_completed_by_a_close)
{
    QTcpServer first;
    const auto reset = call_server(first, [](QTcpSocket& peer) { reset_connection(peer); });
    EXPECT_EQ(reset.end, call_end::cut);
    QTcpServer second;
    const auto closed = call_server(second, [](QTcpSocket& peer) { peer.disconnectFromHost(); });
    EXPECT_EQ(closed.end, call_end::complete);
    EXPECT_EQ(closed.body, "half");
}

// Guards against an aborted answer that looks complete to a caller of HTTP/1.0, whose answers have
// neither a length nor chunks.
TEST(an_answer_without_a_length, that_is_aborted_ends_with_a_reset)
{
    std::shared_ptr<http_reply> reply;
    http_listener listener{{}, [&](const http_request&, const std::shared_ptr<http_reply>& fresh) {
                               reply = fresh;
                               reply->begin({200, {}});
                               reply->write("half");
                           }};
    reason why;
    ASSERT_TRUE(listener.start({"127.0.0.1", 0}, why)) << why.str();
    std::string received;
    std::optional<socket_end> end;
    bool connected = false;
    stream_socket caller{{[&] { connected = true; },
                          [&](std::string_view fresh) { received += fresh; },
                          [&](socket_end how) { end = how; }}};
    caller.connect_to(listener.address());
    ASSERT_TRUE(wait_until([&] { return connected; }));
    caller.write("GET / HTTP/1.0\r\n\r\n");
    ASSERT_TRUE(wait_until([&] { return received.ends_with("half"); }));
    reply->abort();
    ASSERT_TRUE(wait_until([&] { return end.has_value(); }));
    EXPECT_EQ(*end, socket_end::reset);
}

} // namespace
} // namespace cedarpoint

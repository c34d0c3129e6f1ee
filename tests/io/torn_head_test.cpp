// Answers that end within their head, at each byte of it, and answers whose status is none. Both
// clients are tested: the reused connections of a fleet's daemons and the single calls of `serve`.

#include "io/runner_connection.h"
#include "io/socket_state.h"
#include "support/answer_readers.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::call_once;
using testing_support::exchange;

enum class torn_end { closes, resets };

/// Sends the first request of a connection `before`, if there is one, and the next one `torn`; then
/// it ends the connection.
class tearing_runner {
public:
    tearing_runner()
    {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, [this] {
            auto* socket = server_.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] { answer(*socket); });
        });
    }
    [[nodiscard]] endpoint address() const { return {"127.0.0.1", server_.serverPort()}; }
    std::string before; ///< empty: the first request is answered with `torn`
    std::string torn;
    torn_end how = torn_end::closes;

private:
    void answer(QTcpSocket& socket)
    {
        socket.readAll();
        if (!before.empty()) {
            socket.write(std::exchange(before, {}).c_str());
            socket.flush();
            return;
        }
        socket.write(torn.data(), static_cast<qint64>(torn.size()));
        socket.flush();
        if (how == torn_end::resets) {
            reset_on_close(static_cast<int>(socket.socketDescriptor()));
            socket.abort();
        }
        else {
            socket.disconnectFromHost();
        }
    }
    QTcpServer server_;
};

const std::string identity = "X-Cedarpoint-Instance-Signature: s\r\nX-Cedarpoint-Request-Id: r\r\n";
const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct head_form {
    const char* name;
    std::string head;
    std::size_t step; ///< bytes between two places at which it is torn
};

std::ostream& operator<<(std::ostream& out, const head_form& it)
{
    return out << it.name;
}

class a_torn_head : public testing::TestWithParam<head_form> {
protected:
    /// Calls `play` for each place within the head, and each way in which the connection ends.
    template <class Play>
    void at_each_place(const Play& play)
    {
        const auto& [name, head, step] = GetParam();
        for (const auto how : {torn_end::closes, torn_end::resets}) {
            for (std::size_t size = 1; size < head.size(); size += step) {
                tearing_runner runner;
                runner.torn = head.substr(0, size);
                runner.how = how;
                const auto [status, body, complete] = play(runner);
                ASSERT_FALSE(status) << "torn after " << size;
                ASSERT_EQ(body, "") << "torn after " << size;
                ASSERT_FALSE(complete) << "torn after " << size;
            }
        }
    }
};

// Guards against an answer that is passed on as a whole one although its head never ended.
TEST_P(a_torn_head, is_no_answer_on_a_new_connection)
{
    at_each_place([](tearing_runner& runner) {
        runner_connection connection{runner.address()};
        return exchange(connection);
    });
}

TEST_P(a_torn_head, is_no_answer_on_a_reused_connection)
{
    at_each_place([](tearing_runner& runner) {
        runner.before = sound;
        runner_connection connection{runner.address()};
        const auto first = exchange(connection);
        EXPECT_TRUE(first.complete);
        EXPECT_TRUE(connection.is_reusable());
        return exchange(connection);
    });
}

TEST_P(a_torn_head, is_no_answer_to_a_single_call)
{
    at_each_place([](const tearing_runner& runner) { return call_once(runner.address()); });
}

INSTANTIATE_TEST_SUITE_P(
    forms, a_torn_head,
    testing::Values(head_form{"with_a_length",
                              "HTTP/1.1 200 OK\r\n" + identity + "Content-Length: 4\r\n\r\n", 1},
                    head_form{
                        "in_chunks",
                        "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n", 1},
                    head_form{"without_a_length",
                              "HTTP/1.1 200 OK\r\nConnection: close\r\n" + identity + "\r\n", 1},
                    head_form{"longer_than_a_read",
                              "HTTP/1.1 200 OK\r\n" + identity + "X-Long: " +
                                  std::string(40'000, 'l') + "\r\nContent-Length: 4\r\n\r\n",
                              997},
                    head_form{"after_an_interim_answer",
                              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + identity +
                                  "Content-Length: 4\r\n\r\n",
                              1}),
    [](const auto& it) { return it.param.name; });

// Guards against an interim answer that is taken for the final one.
TEST(an_interim_answer, is_followed_by_the_final_one)
{
    for (const std::string interim :
         {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\n"}) {
        tearing_runner runner;
        runner.torn = fmt::format("{0}{0}{1}", interim, sound);
        runner_connection connection{runner.address()};
        for (const auto& [status, body, complete] :
             {exchange(connection), call_once(runner.address())}) {
            EXPECT_EQ(status, 200);
            EXPECT_EQ(body, "ok");
            EXPECT_TRUE(complete);
        }
    }
}

// Guards against callers that get an answer with a status that is none.
TEST(an_answer_with_a_spoiled_status, is_no_answer)
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        tearing_runner runner;
        runner.torn =
            fmt::format("HTTP/1.1 {} OK\r\n{}Content-Length: 2\r\n\r\nok", status, identity);
        runner_connection connection{runner.address()};
        for (const auto& out : {exchange(connection), call_once(runner.address())}) {
            EXPECT_FALSE(out.status) << status;
            EXPECT_FALSE(out.complete) << status;
        }
    }
}

} // namespace
} // namespace cedarpoint

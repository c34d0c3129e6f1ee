// Guarantee: a caller's connection closes neither before a request that has arrived on it is
// answered nor before the caller has received the answer.

#include "daemon/site.h"
#include "io/clock.h"
#include "io/http_listener.h"

#include <QTimer>

#include <arpa/inet.h>
#include <atomic>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace cedarpoint {
namespace {

using testing_support::pass_time;
using testing_support::wait_until;

const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nwhy";
const std::string last_request =
    "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 3\r\n\r\nwhy";

/// A blocking socket, so that the kernel's state is the only one between caller and listener.
class blocking_caller {
public:
    explicit blocking_caller(const endpoint& to) : socket_{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(to.port);
        ::inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        EXPECT_EQ(::connect(socket_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
        const timeval patience{5, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        ::setsockopt(socket_, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    }
    ~blocking_caller() { ::close(socket_); }
    blocking_caller(const blocking_caller&) = delete;
    blocking_caller& operator=(const blocking_caller&) = delete;

    /// Returns false if the connection is closed before everything is sent.
    bool send(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }
    void finish_sending() const { ::shutdown(socket_, SHUT_WR); }
    /// Returns what arrives until the connection ends, in pieces of `step` bytes with `pause` after
    /// each.
    [[nodiscard]] std::string receive_all(std::size_t step = 65536, milliseconds pause = {}) const
    {
        std::string out;
        std::string buf(step, '\0');
        for (ssize_t n = 0; (n = ::recv(socket_, buf.data(), buf.size(), 0)) > 0;) {
            out.append(buf, 0, static_cast<std::size_t>(n));
            std::this_thread::sleep_for(pause);
        }
        return out;
    }

private:
    int socket_;
};

/// A listener that keeps the replies, and callers whose blocking calls run beside its event loop.
class a_callers_connection : public testing::Test {
protected:
    void open(caller_limits limits = {})
    {
        listener = std::make_unique<http_listener>(
            limits, [this](http_request in, const std::shared_ptr<http_reply>& reply) {
                requests.push_back(std::move(in));
                replies.push_back(reply);
            });
        reason why;
        ASSERT_TRUE(listener->start({"127.0.0.1", 0}, why)) << why.str();
    }
    std::unique_ptr<blocking_caller> connect()
    {
        const auto before = listener->connections();
        auto out = std::make_unique<blocking_caller>(listener->address());
        EXPECT_TRUE(wait_until([&] { return listener->connections() > before; }));
        return out;
    }
    /// Runs blocking calls in a thread while the event loop runs.
    template <typename Calls>
    static void run(Calls calls)
    {
        std::atomic<bool> done = false;
        std::thread thread{[&] {
            calls();
            done = true;
        }};
        EXPECT_TRUE(wait_until([&] { return done.load(); }));
        thread.join();
    }
    static std::string receive(const blocking_caller& caller)
    {
        std::string out;
        run([&] { out = caller.receive_all(); });
        return out;
    }
    /// Lets bytes arrive at the kernel, without running the event loop.
    static void wait_for_kernel() { std::this_thread::sleep_for(milliseconds{50}); }

    std::unique_ptr<http_listener> listener;
    std::vector<http_request> requests;
    std::vector<std::shared_ptr<http_reply>> replies;
};

// --- the answer is received ---------------------------------------------------------------------

// Guards against a refusal that is lost because the connection is reset under a caller that sends
// its whole request before it reads.
TEST_F(a_callers_connection, passes_a_refusal_to_a_caller_that_sends_all_of_a_long_body_first)
{
    open();
    const auto caller = connect();
    const std::string body(std::size_t{40} << 20, 'x');
    bool sent = false;
    std::string received;
    run([&] {
        sent = caller->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n") &&
               caller->send(body);
        received = caller->receive_all();
    });
    EXPECT_TRUE(sent);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 413 ")) << received.substr(0, 200);
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

// Guards against an answer that is cut after a second because its connection is to close.
TEST_F(a_callers_connection, passes_a_long_last_answer_to_a_caller_that_reads_slowly)
{
    open();
    const auto caller = connect();
    const std::string answer(std::size_t{24} << 20, 'y');
    caller->send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(wait_until([&] { return replies.size() == 1; }));
    replies[0]->send({200, {}}, answer);
    std::string received;
    run([&] { received = caller->receive_all(std::size_t{1} << 20, milliseconds{100}); });
    EXPECT_GE(received.size(), answer.size());
}

TEST_F(a_callers_connection, ends_for_a_caller_that_never_closes_it)
{
    open();
    const auto caller = connect();
    caller->send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ASSERT_TRUE(wait_until([&] { return replies.size() == 1; }));
    const auto began = steady_now();
    replies[0]->send({200, {}}, "all");
    EXPECT_TRUE(receive(*caller).ends_with("all"));
    EXPECT_LT(steady_now() - began, milliseconds{500}) << "the end of the answer isn't delayed";
    EXPECT_TRUE(wait_until([&] { return listener->connections() == 0; }));
}

// --- the request is read ------------------------------------------------------------------------

// Guards against a stop that drops requests which the daemon has not read yet.
TEST_F(a_callers_connection, that_closes_at_a_stop_is_read_first)
{
    open();
    const auto caller = connect();
    caller->send(request);
    wait_for_kernel();
    listener->stop();
    ASSERT_TRUE(wait_until([&] { return replies.size() == 1; }));
    EXPECT_EQ(requests[0].body, "why");
    replies[0]->send({200, {}}, "all");
    const auto received = receive(*caller);
    EXPECT_TRUE(received.ends_with("all")) << received;
    EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

TEST_F(a_callers_connection, that_closes_at_a_stop_is_read_first_if_the_request_is_long)
{
    open();
    const auto caller = connect();
    const std::string body(300'000, 'x');
    caller->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + body);
    wait_for_kernel();
    listener->stop();
    ASSERT_TRUE(wait_until([&] { return replies.size() == 1; }));
    replies[0]->send({200, {}}, "all");
    EXPECT_TRUE(receive(*caller).ends_with("all"));
}

// Guards against a stop that resets connections which the daemon has not accepted yet.
TEST_F(a_callers_connection, that_was_not_accepted_before_a_stop_is_read)
{
    open();
    const blocking_caller caller{listener->address()};
    caller.send(request);
    wait_for_kernel();
    listener->stop();
    ASSERT_TRUE(wait_until([&] { return replies.size() == 1; }));
    replies[0]->send({200, {}}, "all");
    EXPECT_TRUE(receive(caller).ends_with("all"));
}

// Guards against a request that follows an answer whose head, sent before the stop, has said that
// the connection stays open.
TEST_F(a_callers_connection, that_was_to_stay_open_is_read_after_an_answer_that_a_stop_has_met)
{
    open();
    const auto caller = connect();
    caller->send(request);
    ASSERT_TRUE(wait_until([&] { return replies.size() == 1; }));
    replies[0]->begin({200, {}});
    listener->stop();
    caller->send(request);
    wait_for_kernel();
    replies[0]->finish();
    ASSERT_TRUE(wait_until([&] { return replies.size() == 2; }));
    replies[1]->send({200, {}}, "second");
    EXPECT_TRUE(receive(*caller).ends_with("second"));
}

TEST_F(a_callers_connection, that_is_idle_closes_at_a_stop)
{
    open();
    const auto caller = connect();
    listener->stop();
    EXPECT_EQ(receive(*caller), "");
    EXPECT_EQ(listener->connections(), 0U);
}

/// The event loop is late: other timers run for so long that a connection's own timer has expired
/// when the bytes arrive.
class a_busy_listener : public a_callers_connection {
protected:
    void be_busy_while(const std::function<void()>& step)
    {
        QTimer::singleShot(50, [] { std::this_thread::sleep_for(milliseconds{300}); });
        QTimer::singleShot(60, [step] {
            step();
            wait_for_kernel();
        });
        ASSERT_TRUE(
            wait_until([&] { return replies.size() == 1 || listener->connections() == 0; }));
        ASSERT_EQ(replies.size(), 1U);
        replies[0]->send({200, {}}, "all");
    }
    static caller_limits short_timeouts()
    {
        caller_limits out;
        out.head_timeout = milliseconds{200};
        out.body_timeout = milliseconds{0};
        return out;
    }
};

// Guards against a timer that closes a connection whose request the daemon was too busy to read.
TEST_F(a_busy_listener, reads_a_request_that_arrived_before_the_idle_timeout)
{
    open(short_timeouts());
    const auto caller = connect();
    be_busy_while([&] { caller->send(last_request); });
    EXPECT_TRUE(receive(*caller).ends_with("all"));
}

TEST_F(a_busy_listener, reads_the_rest_of_a_request_that_arrived_in_time)
{
    open(short_timeouts());
    const auto caller = connect();
    caller->send(last_request.substr(0, 20));
    pass_time(milliseconds{20});
    be_busy_while([&] { caller->send(last_request.substr(20)); });
    EXPECT_TRUE(receive(*caller).ends_with("all"));
}

TEST_F(a_callers_connection, whose_request_does_not_arrive_in_time_is_refused)
{
    caller_limits limits;
    limits.head_timeout = milliseconds{100};
    limits.body_timeout = milliseconds{100};
    open(limits);
    const auto caller = connect();
    caller->send(request.substr(0, 20));
    EXPECT_TRUE(receive(*caller).starts_with("HTTP/1.1 408 "));
}

} // namespace
} // namespace cedarpoint

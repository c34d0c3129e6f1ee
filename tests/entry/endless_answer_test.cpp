// Runners in trouble that send answers without end, beside sound ones.

#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "fleet/platform_runner.h"
#include "io/clock.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unistd.h>
#include <vector>

namespace cedarpoint {
namespace {

using testing_support::fleet_site;
using testing_support::platform_runner;
using testing_support::wait_until;

const std::string document = R"({"version":1,
    "routes":[{"name":"safe","host":"h.example","pathPrefix":"/safe/","kind":"safe",
               "timeoutMs":8000,"service":"shop","maxAttempts":2,"public":true},
              {"name":"once","host":"h.example","pathPrefix":"/once/","kind":"unsafe",
               "timeoutMs":8000,"service":"shop","maxAttempts":2,"public":true}],
    "services":[{"name":"shop"}]})";

/// Half of the time that the callers' requests have.
constexpr duration soon = milliseconds{4000};

/// Bytes by which the process may grow: the bound of the memory held, and as much again for strings
/// that are copied while they grow, for buffers of the runner's sockets and for freed memory.
constexpr std::size_t max_growth = std::size_t{128} << 20;

/// Bytes after which the test's runner gives up, so that a daemon without bounds does not exhaust
/// the machine.
constexpr std::size_t max_sent = std::size_t{800} << 20;

enum class framing {
    none,      ///< neither a length nor chunks
    chunks,    ///< chunks of 64 KiB
    length,    ///< an announced length that no daemon can hold
    extension, ///< a chunk whose extension has no end
    trailer,   ///< a trailer of one line without end
    interim,   ///< interim answers, one after the other
    others     ///< whole answers to another request, one after the other
};

std::string repeat(std::string_view text, int times)
{
    std::string out;
    for (int n = 0; n < times; ++n) {
        out += text;
    }
    return out;
}

/// Answers a request to "/once/first" and begins to answer each other one, which goes on until the
/// connection is closed.
class endless_runner {
public:
    explicit endless_runner(fleet_site& site) : site_{site}
    {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, [this] {
            while (auto* socket = server_.nextPendingConnection()) {
                accept(socket);
            }
        });
    }
    framing how = framing::none;
    int slots = 8;

    /// Sends a heartbeat and returns whether a leader has taken it.
    bool announce()
    {
        const auto body = fmt::format(
            R"({{"service":"shop","address":"127.0.0.1:{}","zone":"z","slots":{},"version":"v1",)"
            R"("state":"ready","coldRemainingMs":0,"sequence":{},"domain":"z-d0"}})",
            server_.serverPort(), slots, ++sequence_);
        const auto leader = site_.leader();
        return leader && testing_support::call(site_.controls().at(*leader), "POST",
                                               "/cedarpoint/instances/endless/heartbeat", "", body)
                                 .head.status == 200;
    }
    /// Returns the number of answers that were complete.
    [[nodiscard]] int served() const { return served_; }
    /// Returns the number of answers without end.
    [[nodiscard]] int begun() const { return begun_; }
    /// Returns the number of answers whose connection is still open.
    [[nodiscard]] int open() const { return open_; }

private:
    void accept(QTcpSocket* socket)
    {
        socket->setParent(nullptr);
        sockets_.emplace(socket, std::unique_ptr<QTcpSocket>{socket});
        QObject::connect(socket, &QTcpSocket::readyRead, [this, socket] { begin(*socket); });
        QObject::connect(socket, &QTcpSocket::bytesWritten, [this, socket] { go_on(*socket); });
    }
    void begin(QTcpSocket& socket)
    {
        const auto request = socket.readAll();
        const auto at = request.indexOf("X-Cedarpoint-Request-Id: ");
        if (at < 0) {
            return;
        }
        const auto id = request.mid(at, request.indexOf("\r\n", at) - at).toStdString();
        const auto head = "HTTP/1.1 200 OK\r\nX-Cedarpoint-Instance-Signature: s\r\n" + id + "\r\n";
        if (request.startsWith("POST /once/first")) {
            ++served_;
            socket.write((head + "Content-Length: 0\r\n\r\n").c_str());
            return;
        }
        ++begun_;
        ++open_;
        endless_.insert(&socket);
        QObject::connect(&socket, &QTcpSocket::disconnected, [this] { --open_; });
        if (how == framing::interim || how == framing::others) {
            go_on(socket);
            return;
        }
        const auto framed = how != framing::none && how != framing::length;
        socket.write((head + (framed ? "Transfer-Encoding: chunked\r\n" : "") +
                      (how == framing::length ? "Content-Length: 1000000000000\r\n" : "") + "\r\n" +
                      (how == framing::extension ? "5;a=" : "") +
                      (how == framing::trailer ? "0\r\nX-End: " : ""))
                         .c_str());
    }
    void go_on(QTcpSocket& socket)
    {
        static const std::string block(64 << 10, 'x');
        if (!endless_.contains(&socket) || socket.bytesToWrite() > 0 || sent_ > max_sent) {
            return;
        }
        sent_ += block.size();
        const auto next = next_bytes(block);
        socket.write(next.data(), static_cast<qint64>(next.size()));
    }

    [[nodiscard]] std::string next_bytes(const std::string& block) const
    {
        switch (how) {
        case framing::chunks:
            return "10000\r\n" + block + "\r\n";
        case framing::interim:
            return repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000);
        case framing::others:
            return "HTTP/1.1 200 OK\r\nX-Cedarpoint-Request-Id: other\r\n"
                   "Content-Length: 65536\r\n\r\n" +
                   block;
        default:
            return block;
        }
    }

    fleet_site& site_;
    QTcpServer server_;
    std::set<QTcpSocket*> endless_; ///< with an answer that has begun
    int sequence_ = 0;
    int served_ = 0;
    int begun_ = 0;
    int open_ = 0;
    std::size_t sent_ = 0;
    std::map<QTcpSocket*, std::unique_ptr<QTcpSocket>> sockets_;
};

/// Returns the bytes of memory that this process, the daemons and the runners, has resident.
std::size_t resident_bytes()
{
    std::ifstream in{"/proc/self/statm"};
    std::size_t size = 0;
    std::size_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// One request of a caller, from its connection to the end of its answer.
struct exchange {
    explicit exchange(const endpoint& to, const std::string& target, int n) : connection{to}
    {
        exchange_request request;
        request.bytes.head =
            fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                        "X-Cedarpoint-Request-Id: r{}\r\nContent-Length: 1\r\n\r\nb",
                        target, n);
        exchange_handlers handlers;
        handlers.on_head = [this](const http_head& head) { status = head.status; };
        handlers.on_body = [this](const std::string& bytes) { body += bytes; };
        handlers.on_end = [this](exchange_end end, const reason&) {
            is_whole = end == exchange_end::complete;
            ended_at = steady_now();
        };
        connection.start(std::move(request), std::move(handlers));
    }
    runner_connection connection;
    instant began_at = steady_now();
    std::optional<instant> ended_at;
    bool is_whole = false;
    int status = 0;
    std::string body;
};

std::string name_of_case(const testing::TestParamInfo<framing>& in)
{
    constexpr std::array<const char*, 7> names{"none",    "chunks",  "length", "extension",
                                               "trailer", "interim", "others"};
    return names.at(static_cast<std::size_t>(in.param));
}

double metric(const fleet_site& site, const std::string& name)
{
    const auto text = testing_support::call(site.metrics(), "GET", "/metrics", "", "").body;
    const auto at = text.find("\n" + name + " ");
    return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
}

class an_endless_answer : public testing::TestWithParam<framing> {
protected:
    an_endless_answer()
    {
        endless.how = GetParam();
        EXPECT_EQ(site.put(document), 200);
        EXPECT_TRUE(wait_until([&] { return endless.announce(); }));
    }
    /// Sends `count` requests at once and waits until each has ended.
    void call(const std::string& target, int count)
    {
        peak = 0;
        const auto before = resident_bytes();
        calls.clear();
        for (int n = 0; n < count; ++n) {
            calls.push_back(std::make_unique<exchange>(site.callers(), target, ++requests));
        }
        EXPECT_TRUE(wait_until([&] {
            peak = std::max(peak, resident_bytes() - std::min(before, resident_bytes()));
            return std::all_of(calls.begin(), calls.end(),
                               [](const auto& it) { return it->ended_at.has_value(); });
        }));
    }
    /// Sends single requests until the entry daemon knows a runner for them.
    void await_runner()
    {
        EXPECT_TRUE(wait_until([&] {
            endless.announce();
            call("/once/first", 1);
            return endless.served() > 0;
        }));
    }
    void expect_soon() const
    {
        for (const auto& it : calls) {
            EXPECT_LT(*it->ended_at - it->began_at, soon);
            EXPECT_TRUE(it->is_whole);
        }
        EXPECT_LT(peak, max_growth);
    }
    void expect_closed()
    {
        EXPECT_TRUE(wait_until([&] { return endless.open() == 0; }));
        EXPECT_TRUE(wait_until([&] { return metric(site, "cedarpoint_held_answer_bytes") == 0; }));
    }

    fleet_site site;
    endless_runner endless{site};
    std::vector<std::unique_ptr<exchange>> calls;
    std::size_t peak = 0; ///< growth of the process in bytes
    int requests = 0;
};

// Guards against answers that are held until their requests' deadlines, without any bound.
TEST_P(an_endless_answer, to_an_unsafe_request_ends_it_with_an_unknown_outcome)
{
    await_runner();
    endless.announce();
    call("/once/x", 1);
    EXPECT_EQ(endless.begun(), 1);
    EXPECT_EQ(calls.front()->status, 502);
    EXPECT_NE(calls.front()->body.find("the runner's answer did not come"), std::string::npos);
    expect_soon();
    expect_closed();
}

TEST_P(an_endless_answer, to_a_safe_request_is_replaced_by_a_sound_runners)
{
    platform_runner sound{"sound", "shop", site.controls()};
    await_runner();
    EXPECT_TRUE(wait_until([&] {
        call("/once/first", 1);
        return sound.served() > 0;
    }));
    EXPECT_TRUE(wait_until([&] {
        endless.announce();
        call("/safe/x", 1);
        EXPECT_EQ(calls.front()->status, 200);
        EXPECT_LT(calls.front()->body.size(), 1000U);
        expect_soon();
        return endless.begun() > 0;
    }));
    expect_closed();
}

// Guards against a daemon that exceeds the memory it is given, and so ends all its requests.
TEST_P(an_endless_answer, to_many_requests_at_once_takes_bounded_memory)
{
    endless.slots = 40;
    await_runner();
    endless.announce();
    call("/once/x", 20);
    EXPECT_EQ(endless.begun(), 20);
    for (const auto& it : calls) {
        EXPECT_EQ(it->status, 502);
    }
    expect_soon();
    expect_closed();
}

INSTANTIATE_TEST_SUITE_P(framings, an_endless_answer,
                         testing::Values(framing::none, framing::chunks, framing::length,
                                         framing::extension, framing::trailer, framing::interim,
                                         framing::others),
                         name_of_case);

} // namespace
} // namespace cedarpoint

// A runner answers without a length before it has read a long request, as the pages allow, and the
// connection is reset when half of the answer has passed. See claim.txt.

#include "../support/runner.h"

namespace {

using namespace review;

constexpr std::size_t request_bytes = 4'194'304; ///< limits.maxBodyBytes
constexpr std::size_t answer_bytes = 80'000;
constexpr std::size_t half_answer = answer_bytes / 2;
/// With the disruption, the link to the runner carries this much of a request until it is reset.
constexpr std::size_t bytes_before_reset = 40'000;
constexpr int client_count = 4;
constexpr int requests_per_client = 20;

json make_configuration()
{
    return {{"version", 7},
            {"routes", json::array({{{"name", "r-lookup"},
                                     {"host", "shop.example"},
                                     {"pathPrefix", "/lookup/"},
                                     {"kind", "unsafe"},
                                     {"timeoutMs", 4000},
                                     {"targetLatencyMs", 300},
                                     {"priority", 2},
                                     {"service", "shop"},
                                     {"maxAttempts", 1},
                                     {"public", true}}})},
            {"services", json::array({{{"name", "shop"},
                                       {"healthPath", "/healthz"},
                                       {"maxConnections", 110},
                                       {"protocol", "h1"},
                                       {"tls", false}}})},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

std::string make_answer(const std::string& request)
{
    std::string out;
    while (out.size() < answer_bytes) {
        out += request + " line " + std::to_string(out.size()) + "\n";
    }
    return out.substr(0, answer_bytes);
}

/// Serves one connection of the runner. The answer has no length: it begins before the request's
/// body is read, and ends with the connection after that.
void run_request(int fd)
{
    message_reader reader{fd};
    message request;
    if (!reader.read_head(request)) {
        return;
    }
    const auto id = request.get("x-cedarpoint-request-id");
    const auto answer = make_answer(id);
    record("runner runs %s and sends the first half of its answer", id.c_str());
    send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Cedarpoint-Request-Id: " + id +
                     "\r\nX-Cedarpoint-Instance-Signature: signed-1\r\n"
                     "Connection: close\r\n\r\n" +
                     answer.substr(0, half_answer));
    if (!reader.read_body(request)) {
        record("runner: the connection of %s broke after %zu bytes of its body", id.c_str(),
               request.body.size());
        return;
    }
    send_all(fd, answer.substr(half_answer));
    record("runner has read %zu bytes of %s and sent its whole answer of %zu", request.body.size(),
           id.c_str(), answer.size());
    shutdown(fd, SHUT_WR);
    char rest[256];
    while (recv(fd, rest, sizeof rest, 0) > 0) {
    }
}

/// The link between the entry daemons and the runner. With the disruption, a connection is reset
/// when the first half of an answer has passed, while the request is still on its way.
class link_to_runner {
public:
    link_to_runner(endpoint at, endpoint runner)
        : runner_{std::move(runner)}, server_{std::move(at), [this](int fd) { carry(fd); }, 16384}
    {
    }
    const endpoint& address() const { return server_.address(); }
    int resets() const { return resets_; }

private:
    void carry(int near)
    {
        const int far = connect_to(runner_, 500);
        if (far < 0) {
            return;
        }
        std::size_t carried = 0;
        std::vector<char> bytes(1 << 17);
        for (;;) {
            const bool holds = has_trouble() && carried >= bytes_before_reset;
            pollfd fds[2]{{near, short(holds ? 0 : POLLIN), 0}, {far, POLLIN, 0}};
            if (poll(fds, 2, 6000) <= 0) {
                break;
            }
            if ((fds[0].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                const auto n = recv(near, bytes.data(), bytes.size(), 0);
                if (n <= 0 || !send_all(far, {bytes.data(), std::size_t(n)})) {
                    break;
                }
                carried += std::size_t(n);
            }
            if ((fds[1].revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                if (has_trouble()) {
                    reset_after_half(near, far);
                    ++resets_;
                    break;
                }
                const auto n = recv(far, bytes.data(), bytes.size(), 0);
                if (n <= 0 || !send_all(near, {bytes.data(), std::size_t(n)})) {
                    break;
                }
            }
        }
        close(far);
    }

    /// Passes the first half of the answer and resets both sides.
    static void reset_after_half(int near, int far)
    {
        sleep_ms(100); // the rest of the half arrives, and the entry daemon fills its buffers
        std::vector<char> bytes(1 << 17);
        const auto n = recv(far, bytes.data(), bytes.size(), 0);
        const linger at_once{1, 0};
        for (const int fd : {near, far}) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        if (n > 0) {
            send_all(near, {bytes.data(), std::size_t(n)});
        }
        // Closing with a lingering time of 0 resets; the owner closes the descriptor itself.
        const sockaddr unspecified{AF_UNSPEC, {}};
        connect(near, &unspecified, sizeof unspecified);
    }

    endpoint runner_;
    std::atomic<int> resets_ = 0;
    server server_;
};

class torn_answer_case {
public:
    result run()
    {
        if (!site_.can_run()) {
            record("no program at %s", fleet::program().c_str());
            return result::not_run;
        }
        site_.start_all();
        server runner{{site_.runner_ip(0), 0}, run_request};
        link_to_runner link{{site_.runner_ip(1), 0}, runner.address()};
        heartbeats beats{site_.controls(), "i-1", "shop", link.address()};
        if (!site_.put(make_configuration(), 20) || !site_.wait_ready(0, 10)) {
            record("the fleet did not get ready");
            return result::not_run;
        }
        sleep_ms(1500);
        std::vector<std::thread> clients;
        for (int client = 0; client < client_count; ++client) {
            clients.emplace_back([this, client] {
                for (int n = 0; n < requests_per_client; ++n) {
                    send_one("request-" + std::to_string(client) + "-" + std::to_string(n));
                }
            });
        }
        for (auto& each : clients) {
            each.join();
        }
        constexpr int request_count = client_count * requests_per_client;
        record("%d requests: %d whole answers, %d torn answers that look complete", request_count,
               whole_.load(), torn_.load());
        const bool has_run = has_trouble() ? link.resets() > 0 : whole_ == request_count;
        if (!has_run) {
            record("the answers did not come as the case needs them");
            return result::not_run;
        }
        return torn_ > 0 ? result::broken : result::held;
    }

private:
    void send_one(const std::string& id)
    {
        record("client: %s is sent, %zu bytes", id.c_str(), request_bytes);
        const auto got = call(site_.callers(0), "POST", "/lookup/1",
                              "Host: shop.example\r\nX-Cedarpoint-Request-Id: " + id +
                                  "\r\nX-Cedarpoint-Deadline-Ms: 4000\r\n",
                              std::string(request_bytes, 'x'), 6000);
        const bool succeeded = got.status == 200 && got.complete;
        const bool is_whole = got.head.body == make_answer(id);
        whole_ += succeeded && is_whole ? 1 : 0;
        torn_ += succeeded && !is_whole ? 1 : 0;
        record("client: %s gets status %d, signature '%s', length '%s', %zu of %zu bytes%s",
               id.c_str(), got.status, got.head.get("x-cedarpoint-instance-signature").c_str(),
               got.head.get("content-length").c_str(), got.head.body.size(), answer_bytes,
               succeeded && !is_whole ? " TORN, but complete by its length" : "");
    }

    fleet site_{2, false};
    std::atomic<int> whole_ = 0;
    std::atomic<int> torn_ = 0;
};

} // namespace

int main()
{
    signal(SIGPIPE, SIG_IGN);
    start_time();
    const auto out = torn_answer_case{}.run();
    record("exit %d", static_cast<int>(out));
    return static_cast<int>(out);
}

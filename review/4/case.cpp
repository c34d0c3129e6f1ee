// Thirty clients send a large body at once, each within the limits of the configuration.

#include "harness.h"

#include <algorithm>
#include <csignal>

using namespace review;

namespace {

/// `memoryMb` of a front machine. The platform kills a process that goes over it.
constexpr std::size_t memory_limit = std::size_t{260} << 20;
/// `maxBodyBytes` of the configuration.
constexpr std::size_t max_body = 4'194'304;
/// Clients of a zone.
constexpr int clients = 30;
/// Requests on kept connections that may be passed on to a runner and end without an answer.
constexpr int allowed_losses = 3;

constexpr auto configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"shop.example","pathPrefix":"/stock/",)"
    R"("kind":"unsafe","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"shop",)"
    R"("maxAttempts":1,"public":true}],)"
    R"("services":[{"name":"shop","healthPath":"/healthz","maxConnections":110,)"
    R"("protocol":"h1","tls":false}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

std::string request(const std::string& id, const std::string& body)
{
    return make_request("POST", "/stock/a",
                        {{"Host", "shop.example"},
                         {"X-Cedarpoint-Request-Id", id},
                         {"X-Cedarpoint-Deadline-Ms", "4000"}},
                        body);
}

std::string in_mb(std::size_t bytes)
{
    return std::to_string(bytes >> 20) + " MB";
}

/// The platform as far as memory goes: kills the process when it is over its limit.
class memory_watch {
public:
    memory_watch(recorder& log, process& watched)
        : thread_{[this, &log, &watched] {
              while (!done_) {
                  const auto now = watched.memory();
                  peak_ = std::max(peak_, now);
                  if (now > memory_limit) {
                      log.line("the platform kills the entry daemon, which uses " + in_mb(now));
                      watched.signal(SIGKILL);
                      return;
                  }
                  wait(milliseconds{2});
              }
          }}
    {
    }
    std::size_t stop()
    {
        done_ = true;
        thread_.join();
        return peak_;
    }

private:
    std::atomic<bool> done_{false};
    std::size_t peak_ = 0;
    std::thread thread_;
};

struct counts {
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> lost{0}; ///< run by a runner, and the connection closed without an answer
    std::atomic<int> not_run{0};
};

int run(recorder& log)
{
    fleet site{log, 1};
    std::vector<std::unique_ptr<plain_runner>> runners;
    for (int n = 0; n < 3; ++n) {
        plain_runner::options options;
        options.id = "i-" + std::to_string(n);
        options.service = "shop";
        options.work = milliseconds{250};
        runners.push_back(std::make_unique<plain_runner>(site, log, options));
    }
    const auto put = site.call_control("POST", "/cedarpoint/config/put", configuration);
    const auto is_known = [](const auto& each) { return each->acknowledged() > 0; };
    if (!put || put->status() != 200 || !site.wait_ready(0, milliseconds{10'000}) ||
        !wait_until(milliseconds{5000},
                    [&] { return std::all_of(runners.begin(), runners.end(), is_known); })) {
        throw can_not_run{"the configuration is not in force"};
    }
    wait(milliseconds{3000});
    std::vector<std::unique_ptr<connection>> connections;
    for (int n = 0; n < clients; ++n) {
        connections.push_back(connection::open(site.callers(0)));
        auto& to = *connections.back();
        const auto answer = to.write(request("small-" + std::to_string(n), "small"))
                                ? to.read(true, milliseconds{5000})
                                : std::nullopt;
        if (!answer || answer->status() != 200) {
            throw can_not_run{"a small request was not served"};
        }
    }
    log.line("each client has a kept connection; the entry daemon uses " +
             in_mb(site.entry_process(0).memory()));
    memory_watch platform{log, site.entry_process(0)};
    counts out;
    const auto ask = [&](int client) {
        const auto id = "large-" + std::to_string(client);
        auto& to = *connections.at(static_cast<std::size_t>(client));
        to.write(request(id, std::string(max_body, 'x')));
        const auto answer = to.read(true, milliseconds{5000});
        int runs = 0;
        for (const auto& each : runners) {
            runs += each->runs_of(id);
        }
        const bool is_whole = answer && answer->is_complete;
        ++(is_whole && answer->status() == 200 ? out.answered
           : is_whole                          ? out.refused
           : runs > 0                          ? out.lost
                                               : out.not_run);
        log.line(id + ": " +
                 (is_whole ? std::to_string(answer->status()) : std::string{"closed, no answer"}) +
                 ", run " + std::to_string(runs) + " times");
    };
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n) {
        threads.emplace_back(ask, n);
        if (!has_trouble()) {
            threads.back().join(); // one after the other
        }
    }
    for (auto& each : threads) {
        if (each.joinable()) {
            each.join();
        }
    }
    const auto peak = platform.stop();
    log.line("peak " + in_mb(peak) + ", answered " + std::to_string(out.answered) + ", refused " +
             std::to_string(out.refused) + ", run and lost " + std::to_string(out.lost) +
             ", closed and not run " + std::to_string(out.not_run));
    return out.lost > allowed_losses ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

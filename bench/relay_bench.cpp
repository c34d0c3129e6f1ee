// Measures the cost of the request path: a real daemon process relays between callers and engines
// in this process.

#include "benches.h"
#include "daemon/site.h"
#include "process_usage.h"

#include <QProcess>

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>

namespace cedarpoint::bench {
namespace {

using namespace testing_support;
using json = nlohmann::json;

constexpr int node_count = 4; // the smallest group that a file may declare
constexpr std::uint16_t callers_port = 25'080;
constexpr std::uint16_t operators_port = 25'081;
// Limit of slots and requests in flight that no benchmark here reaches.
constexpr int unlimited = 100'000;
// Share of one daemon in the target load of docs/CAPACITY.md (230,000 requests and 47 million
// tokens per second on 2,000 daemons), and the largest share of a core that it may use for it.
constexpr double target_requests_per_second = 115;
constexpr double target_tokens_per_second = 23'500;
constexpr double max_core_share = 0.4;
constexpr double max_added_latency_ms = 1; // of the time to the first token, p95

/// One daemon process with one group of engines in this process.
class relay_fixture {
public:
    explicit relay_fixture(const stand_in_runner::options& engine)
    {
        json file{{"based_on", 0},
                  {"change_id", "bench"},
                  {"failure_domains", {"z"}},
                  {"fabric_domains", json::array({{{"id", "f"}, {"failure_domain", "z"}}})},
                  {"models", json::array({{{"id", "m"}, {"versions", {"1"}}}})},
                  {"routing_rules", json::array({{{"model", "m"}, {"replica_groups", {"p"}}}})},
                  {"replica_groups", json::array({{{"id", "p"},
                                                   {"model", "m"},
                                                   {"version", "1"},
                                                   {"failure_domain", "z"},
                                                   {"size", 4},
                                                   {"count", 1}}})},
                  {"client_accounts", json::array({{{"id", "acme"},
                                                    {"key_sha256", sha256_hex("secret")},
                                                    {"home_failure_domain", "z"},
                                                    {"max_in_flight", unlimited}}})}};
        for (int n = 0; n < node_count; ++n) {
            engines_.push_back(std::make_unique<stand_in_runner>(engine));
            reason why;
            engines_.back()->start({"127.0.0.1", 0}, why);
            file["nodes"].push_back({{"id", fmt::format("n{}", n)}, {"fabric_domain", "f"}});
            file["runners"].push_back({{"id", fmt::format("r{}", n)},
                                       {"node", fmt::format("n{}", n)},
                                       {"address", engines_.back()->address().str()},
                                       {"slots", unlimited}});
        }
        const json settings{{"id", "d"},
                            {"failure_domain", "z"},
                            {"callers", endpoint{"127.0.0.1", callers_port}.str()},
                            {"operators", endpoint{"127.0.0.1", operators_port}.str()},
                            {"data_folder", folder_.path().toStdString() + "/data"}};
        const auto path = folder_.path().toStdString() + "/settings.json";
        std::ofstream{path} << settings.dump();
        process_.setStandardErrorFile(QProcess::nullDevice());
        process_.start(BINARY_DIR "/cedarpoint",
                       {"serve", "--settings", QString::fromStdString(path)});
        process_.waitForStarted();
        const auto text = file.dump();
        wait_until([&] {
            raw_caller it{{"127.0.0.1", operators_port}};
            it.send(plain_request("POST", "/v1/configuration", "Connection: close\r\n", text));
            it.wait_closed();
            return status_of(it.received()) == 200;
        });
        wait_until([&] { return time_to_first_token({"127.0.0.1", callers_port}).count() > 0; });
    }

    ~relay_fixture()
    {
        process_.kill();
        process_.waitForFinished();
    }
    relay_fixture(const relay_fixture&) = delete;
    relay_fixture& operator=(const relay_fixture&) = delete;

    /// Returns the time to the first token of a small request sent to `to`; 0 if it failed.
    static duration time_to_first_token(const endpoint& to)
    {
        raw_caller it{to};
        const auto start = std::chrono::steady_clock::now();
        it.send(chat_request({.tokens = 1}));
        wait_until([&] {
            return it.received().find("}}") != std::string::npos ||
                   it.received().find("\"t0 ") != std::string::npos;
        });
        const auto elapsed =
            std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - start);
        return it.received().find("\"t0 ") == std::string::npos ? duration{0} : elapsed;
    }

    [[nodiscard]] endpoint serving_engine() const
    {
        for (const auto& it : engines_) {
            if (it->served() > 0) {
                return it->address();
            }
        }
        return engines_.front()->address();
    }
    [[nodiscard]] process_usage usage() const { return read_process_usage(process_.processId()); }
    static endpoint callers() { return {"127.0.0.1", callers_port}; }

private:
    QTemporaryDir folder_;
    std::vector<std::unique_ptr<stand_in_runner>> engines_;
    QProcess process_;
};

double quantile_ms(std::vector<duration> samples, double q)
{
    std::sort(samples.begin(), samples.end());
    return static_cast<double>(
               samples[static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1))]
                   .count()) /
           1000;
}

void measure_added_latency(relay_fixture& fixture)
{
    constexpr int rounds = 300;
    std::vector<duration> direct;
    std::vector<duration> relayed;
    for (int n = 0; n < rounds; ++n) {
        direct.push_back(relay_fixture::time_to_first_token(fixture.serving_engine()));
        relayed.push_back(relay_fixture::time_to_first_token(relay_fixture::callers()));
    }
    constexpr double p95 = 0.95;
    const double added = quantile_ms(relayed, p95) - quantile_ms(direct, p95);
    print_figure("relay.added_first_token_p95_idle", added, "ms", "< 1",
                 added < max_added_latency_ms);
    print_figure("relay.added_first_token_p50_idle",
                 quantile_ms(relayed, 0.5) - quantile_ms(direct, 0.5), "ms", "", -1);
}

/// Returns the processor time of the daemon per token, in seconds, with `streams` concurrent
/// streams.
double measure_streams(relay_fixture& fixture, int streams, int tokens)
{
    std::vector<std::unique_ptr<raw_caller>> connections;
    for (int n = 0; n < streams; ++n) {
        connections.push_back(std::make_unique<raw_caller>(relay_fixture::callers()));
    }
    const auto connected = fixture.usage();
    for (auto& it : connections) {
        it->send(chat_request({.tokens = tokens}));
    }
    double peak_kb = 0;
    const auto start = std::chrono::steady_clock::now();
    wait_until([&] {
        peak_kb = std::max(peak_kb, fixture.usage().resident_kb);
        return std::all_of(connections.begin(), connections.end(), [](auto& it) {
            return it->received().find("[DONE]") != std::string::npos;
        });
    });
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const double cpu = fixture.usage().cpu_seconds - connected.cpu_seconds;
    const double token_count = static_cast<double>(streams) * tokens;
    const auto name = fmt::format("relay.streams_{}", streams);
    print_figure(name + ".cpu_us_per_token", cpu / token_count * 1e6, "us", "", -1);
    print_figure(name + ".tokens_per_second", token_count / elapsed.count(), "1/s", "", -1);
    if (streams >= 100) {
        print_figure(name + ".kb_per_active_stream", (peak_kb - connected.resident_kb) / streams,
                     "KB", "", -1);
    }
    return cpu / token_count;
}

/// Returns the processor time of the daemon per request that is not streamed, in seconds, over
/// persistent connections.
double measure_requests(relay_fixture& fixture)
{
    constexpr int connection_count = 50;
    constexpr int requests_per_connection = 60;
    std::string batch;
    for (int n = 0; n < requests_per_connection; ++n) {
        batch += chat_request({.stream = false, .tokens = 1});
    }
    std::vector<std::unique_ptr<raw_caller>> connections;
    const auto before = fixture.usage();
    const auto start = std::chrono::steady_clock::now();
    for (int n = 0; n < connection_count; ++n) {
        connections.push_back(std::make_unique<raw_caller>(relay_fixture::callers()));
        connections.back()->send(batch);
    }
    const auto answered = [](raw_caller& it) {
        int n = 0;
        const auto& text = it.received();
        for (auto found = text.find("HTTP/1.1 200"); found != std::string::npos;
             found = text.find("HTTP/1.1 200", found + 1)) {
            ++n;
        }
        return n;
    };
    wait_until([&] {
        return std::all_of(connections.begin(), connections.end(),
                           [&](auto& it) { return answered(*it) == requests_per_connection; });
    });
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const double cpu = (fixture.usage().cpu_seconds - before.cpu_seconds) /
                       (connection_count * requests_per_connection);
    print_figure("relay.cpu_us_per_request", cpu * 1e6, "us", "", -1);
    print_figure("relay.requests_per_second",
                 connection_count * requests_per_connection / elapsed.count(), "1/s", "", -1);
    return cpu;
}

} // namespace

/// Measures the memory of idle connections. Must run first: later allocations could reuse free heap
/// space, which does not increase the resident size.
void measure_idle_connections(relay_fixture& fixture)
{
    constexpr int connection_count = 1000;
    std::vector<std::unique_ptr<raw_caller>> connections;
    const auto before = fixture.usage();
    for (int n = 0; n < connection_count; ++n) {
        connections.push_back(std::make_unique<raw_caller>(relay_fixture::callers()));
        connections.back()->send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    wait_until([&] {
        return std::all_of(connections.begin(), connections.end(),
                           [](auto& it) { return it->received().find("ok") != std::string::npos; });
    });
    print_figure("relay.kb_per_idle_connection",
                 (fixture.usage().resident_kb - before.resident_kb) / connection_count, "KB", "",
                 -1);
}

void run_relay_bench()
{
    stand_in_runner::options engine;
    engine.token_ms = 1;
    relay_fixture fixture{engine};
    measure_idle_connections(fixture);
    measure_added_latency(fixture);
    const double per_request = measure_requests(fixture);
    measure_streams(fixture, 1, 2000);
    const double per_token = measure_streams(fixture, 100, 400);
    const double per_token_many = measure_streams(fixture, 1000, 200);
    const double share = target_requests_per_second * per_request +
                         target_tokens_per_second * std::max(per_token, per_token_many);
    print_figure("relay.core_share_at_target", share * 100, "% of a core", "< 40",
                 share < max_core_share);
}

} // namespace cedarpoint::bench

// A runner spoils one bit of the first event's id in some of its streams.

#include "harness.h"

#include <algorithm>

using namespace review;

namespace {

constexpr auto configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"garden.example","pathPrefix":"/advice/",)"
    R"("kind":"streaming","timeoutMs":8000,"targetLatencyMs":300,"priority":1,"service":"llm",)"
    R"("maxAttempts":2,"public":true,"sticky":true,"resumable":true,"targetGapMs":300}],)"
    R"("services":[{"name":"llm","healthPath":"/healthz","maxConnections":314,"protocol":"h1",)"
    R"("tls":false,"engine":{"slots":26,"kvCapacity":1590000,"kvTokenBytes":327680,)"
    R"("linkMbps":400000.0,"stride":7,"models":[{"name":"m0","size":2,"share":1.0,"pace":1.0,)"
    R"("loadS":2.0,"warmS":0.3}],"step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,)"
    R"("read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,)"
    R"("loadsPerS":4.5,"loads_at_once":6,"delays":[],"usual":{"prompt":1115,"answer":178},)"
    R"("keeps":1,"far_x":2.5,"formMs":300.0}}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

constexpr int group_count = 3;
constexpr int group_size = 2;
constexpr int events = 25;
/// The faulty head spoils one of this many streams.
constexpr int spoiled_stream = 50;
constexpr int callers_count = 12;
constexpr int requests_per_caller = 50;

int count_pieces(const std::string& body)
{
    int out = 0;
    for (auto at = body.find("data: token"); at != std::string::npos;
         at = body.find("data: token", at + 1)) {
        ++out;
    }
    return out;
}

int run(recorder& log)
{
    fleet site{log, 1};
    std::vector<std::unique_ptr<group_runner>> runners;
    for (int n = 0; n < group_count * group_size; ++n) {
        group_runner::options options;
        options.id = "i-" + std::to_string(n);
        options.service = "llm";
        options.slots = 26;
        options.domain = "d" + std::to_string(n / group_size);
        options.load_times = {{"m0", milliseconds{2000}}};
        options.events = events;
        options.event_gap = milliseconds{10};
        // Either runner of the first domain may become the head of its group.
        options.spoiled_stream = has_trouble() && n < group_size ? spoiled_stream : 0;
        runners.push_back(std::make_unique<group_runner>(site, log, options));
    }
    const auto put = site.call_control("POST", "/cedarpoint/config/put", configuration);
    if (!put || put->status() != 200 || !site.wait_ready(0, milliseconds{10'000})) {
        throw can_not_run{"the configuration is not in force"};
    }
    const auto is_open = [](const auto& each) { return each->now().state == "open"; };
    if (!wait_until(milliseconds{20'000}, [&] {
            return std::count_if(runners.begin(), runners.end(), is_open) == group_count;
        })) {
        throw can_not_run{"not all groups are open"};
    }
    wait(milliseconds{3500});
    std::atomic<int> whole{0};
    std::atomic<int> others{0};
    std::atomic<int> lacking{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < callers_count; ++caller) {
        callers.emplace_back([&, caller] {
            for (int n = 0; n < requests_per_caller; ++n) {
                const auto id = std::to_string(caller) + "-" + std::to_string(n);
                const auto to = connection::open(site.callers(0));
                const bool sent =
                    to != nullptr &&
                    to->write(make_request(
                        "POST", "/advice/a",
                        {{"Host", "garden.example"},
                         {"X-Cedarpoint-Request-Id", "q-" + id},
                         {"X-Cedarpoint-Deadline-Ms", "8000"},
                         {"X-Cedarpoint-Model", "m0"},
                         {"X-Cedarpoint-Token-Usage", "100,175"},
                         {"X-Cedarpoint-Prompt-Prefix", "5c1e07a2:40,9" + std::to_string(caller) +
                                                            "b" + std::to_string(n) + ":60"}},
                        "prompt"));
                const auto answer = sent ? to->read(true, milliseconds{9000}) : std::nullopt;
                if (!answer || answer->status() != 200 || !answer->is_complete) {
                    ++others;
                    continue;
                }
                const auto pieces = count_pieces(answer->body);
                ++(pieces == events ? whole : lacking);
                if (pieces != events) {
                    log.line("q-" + id + " ends as complete with " + std::to_string(pieces) +
                             " of " + std::to_string(events) + " pieces");
                }
            }
        });
    }
    for (auto& each : callers) {
        each.join();
    }
    int spoiled = 0;
    for (const auto& each : runners) {
        spoiled += each->spoiled();
    }
    log.line("whole " + std::to_string(whole) + ", others " + std::to_string(others) +
             ", spoiled " + std::to_string(spoiled) + ", complete with pieces missing " +
             std::to_string(lacking));
    if (whole == 0 || (has_trouble() && spoiled == 0)) {
        throw can_not_run{"nothing was served or spoiled"};
    }
    return lacking > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

// A runner spoils the status line of some of its answers.

#include "harness.h"

#include <algorithm>
#include <cctype>

using namespace review;

namespace {

constexpr auto configuration =
    R"({"version":7,"routes":[{"name":"r-1","host":"shop.example","pathPrefix":"/stock/",)"
    R"("kind":"safe","timeoutMs":4000,"targetLatencyMs":300,"priority":1,"service":"shop",)"
    R"("maxAttempts":2,"public":true}],)"
    R"("services":[{"name":"shop","healthPath":"/healthz","maxConnections":110,)"
    R"("protocol":"h1","tls":false}],)"
    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,)"
    R"("idleTimeoutMs":15000}})";

constexpr int runner_count = 3;
/// The faulty runner spoils one of this many answers.
constexpr int spoiled_answer = 50;
constexpr int callers_count = 8;
constexpr int requests_per_caller = 100;

/// Returns true if the line begins an answer of HTTP/1.1: a status code of three digits, of which
/// the first is 1 to 5.
bool is_status_line(const std::string& line)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    if (!line.starts_with(version)) {
        return false;
    }
    const auto code = line.substr(version.size(), line.find(' ', version.size()) - version.size());
    return code.size() == 3 && code[0] >= '1' && code[0] <= '5' &&
           std::all_of(code.begin(), code.end(),
                       [](unsigned char each) { return std::isdigit(each) != 0; });
}

int run(recorder& log)
{
    fleet site{log, 1};
    std::vector<std::unique_ptr<plain_runner>> runners;
    for (int n = 0; n < runner_count; ++n) {
        plain_runner::options options;
        options.id = "i-" + std::to_string(n);
        options.service = "shop";
        options.work = milliseconds{20};
        options.spoiled_answer = has_trouble() && n == 0 ? spoiled_answer : 0;
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
    std::atomic<int> served{0};
    std::atomic<int> others{0};
    std::atomic<int> no_answers{0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < callers_count; ++caller) {
        callers.emplace_back([&, caller] {
            for (int n = 0; n < requests_per_caller; ++n) {
                const auto id = "q-" + std::to_string(caller) + "-" + std::to_string(n);
                const auto to = connection::open(site.callers(0));
                const bool sent =
                    to != nullptr && to->write(make_request("GET", "/stock/a",
                                                            {{"Host", "shop.example"},
                                                             {"X-Cedarpoint-Request-Id", id},
                                                             {"X-Cedarpoint-Deadline-Ms", "4000"}},
                                                            ""));
                const auto answer = sent ? to->read(true, milliseconds{5000}) : std::nullopt;
                if (answer && !is_status_line(answer->first_line)) {
                    ++no_answers;
                    log.line(id + " gets: " + answer->first_line + " | " + answer->body);
                }
                else {
                    ++(answer && answer->status() == 200 ? served : others);
                }
            }
        });
    }
    for (auto& each : callers) {
        each.join();
    }
    log.line("served " + std::to_string(served) + ", others " + std::to_string(others) +
             ", answers of the faulty runner " + std::to_string(runners.front()->runs()) +
             ", spoiled " + std::to_string(runners.front()->spoiled()) + ", passed on to callers " +
             std::to_string(no_answers));
    if (served == 0 || (has_trouble() && runners.front()->spoiled() == 0)) {
        throw can_not_run{"nothing was served or spoiled"};
    }
    return no_answers > 0 ? exit_broken : exit_held;
}

} // namespace

int main(int argc, char** argv)
{
    return run_case(argc, argv, run);
}

#include "cli/commands.h"

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/config/json_reader.h"
#include "cedarpoint/config/settings.h"
#include "cedarpoint/core/http_status.h"
#include "cedarpoint/core/json_text.h"
#include "cli/exit_code.h"
#include "cli/operator_client.h"
#include "cli/settings_file.h"
#include "cli/status_view.h"

#include <QThread>

#include <chrono>
#include <fmt/format.h>

namespace cedarpoint {
namespace {

using json = nlohmann::json;

// Intervals between two polls of a daemon.
constexpr unsigned long apply_poll_ms = 100;   ///< while waiting for a revision to be in force
constexpr unsigned long top_refresh_ms = 1000; ///< while showing the status

constexpr int json_indent = 2;
constexpr const char* clear_screen = "\x1b[H\x1b[2J"; ///< ANSI: cursor home, erase all

int report_unreachable(const reason& why)
{
    fmt::print(stderr, "{}\n", why.str());
    return to_int(exit_code::unreachable);
}

/// Prints why a daemon refused a call. A 503 status counts as no answer: the outcome is unknown.
int report_refused(const std::string& subject, const operator_response& it)
{
    if (it.body.is_object() && it.body.contains("faults")) {
        for (const auto& e : it.body["faults"]) {
            fmt::print(stderr, "{}: {}: {}\n", subject, e.value("path", ""), e.value("text", ""));
        }
    }
    else {
        fmt::print(stderr, "refused: {}\n", write_json(it.body));
    }
    return to_int(it.status == http_status::service_unavailable ? exit_code::unreachable
                                                                : exit_code::refused);
}

/// The file formats that `check` supports.
enum class file_kind { settings, fleet_settings, declarative };

/// Detects the kind of a file from its keys: settings of a fleet have `role` and `seeds`, other
/// settings have `callers`.
file_kind kind_of(const std::string& text)
{
    faults ignored;
    const auto value = parse_json(text, ignored);
    const bool is_object = value && value->is_object();
    if (is_object && value->contains("role") && value->contains("seeds")) {
        return file_kind::fleet_settings;
    }
    return is_object && value->contains("callers") ? file_kind::settings : file_kind::declarative;
}

/// Returns whether `text` is a valid file of this kind; appends every fault to `out`.
bool is_valid(file_kind kind, const std::string& text, faults& out)
{
    switch (kind) {
    case file_kind::settings:
        return settings::parse(text, out).has_value();
    case file_kind::fleet_settings:
        return fleet_settings::parse(text, out).has_value();
    default:
        return configuration::parse(text, out).has_value();
    }
}

/// Returns the revision in force on a daemon; nothing if the call fails.
std::optional<std::uint64_t> revision_at(const endpoint& daemon)
{
    reason why;
    const auto it = operator_client{daemon}.get("/v1/status", why);
    if (!it || it->status != http_status::ok) {
        return {};
    }
    return it->body.value("revision", std::uint64_t{0});
}

int wait_until_in_force(std::vector<endpoint> daemons, std::uint64_t revision, int wait_seconds)
{
    using clock = std::chrono::steady_clock;
    const auto deadline = clock::now() + std::chrono::seconds{wait_seconds};
    while (!daemons.empty()) {
        std::erase_if(daemons,
                      [&](const endpoint& it) { return revision_at(it).value_or(0) >= revision; });
        if (daemons.empty() || clock::now() >= deadline) {
            break;
        }
        QThread::msleep(apply_poll_ms);
    }
    for (const auto& it : daemons) {
        fmt::print(stderr, "not confirmed in force on {}\n", it.str());
    }
    if (daemons.empty()) {
        fmt::print("revision {} is in force on all polled daemons\n", revision);
    }
    return to_int(daemons.empty() ? exit_code::done : exit_code::not_confirmed);
}

} // namespace

int run_check(const std::string& file)
{
    const auto text = read_input_file(file);
    if (!text) {
        return to_int(exit_code::bad_file);
    }
    faults found;
    const auto kind = kind_of(*text);
    const bool valid = is_valid(kind, *text, found);
    print_faults(file, found);
    if (valid) {
        fmt::print("{}: valid {}\n", file,
                   kind == file_kind::declarative ? "declarative file" : "settings");
    }
    return to_int(valid ? exit_code::done : exit_code::bad_file);
}

int run_apply(const endpoint& daemon, const std::string& file, int wait_seconds,
              const std::vector<std::string>& other_daemons)
{
    const auto text = read_input_file(file);
    if (!text) {
        return to_int(exit_code::bad_file);
    }
    std::vector<endpoint> daemons{daemon};
    for (const auto& name : other_daemons) {
        const auto it = endpoint::parse(name);
        if (!it) {
            fmt::print(stderr, "--also {}: must be ip:port\n", name);
            return to_int(exit_code::usage);
        }
        daemons.push_back(*it);
    }
    reason why;
    const auto it = operator_client{daemon}.post("/v1/configuration", *text, why);
    if (!it) {
        return report_unreachable(why);
    }
    if (it->status != http_status::ok) {
        return report_refused(file, *it);
    }
    const auto revision = it->body.value("revision", std::uint64_t{0});
    fmt::print("accepted as revision {}\n", revision);
    return wait_seconds > 0 ? wait_until_in_force(std::move(daemons), revision, wait_seconds)
                            : to_int(exit_code::done);
}

int run_plan(const endpoint& daemon, const std::string& file)
{
    const auto text = read_input_file(file);
    if (!text) {
        return to_int(exit_code::bad_file);
    }
    reason why;
    const auto it = operator_client{daemon}.post("/v1/plan", *text, why);
    if (!it) {
        return report_unreachable(why);
    }
    if (it->status != http_status::ok) {
        return report_refused(file, *it);
    }
    for (const auto& line : it->body["changes"]) {
        fmt::print("{} {}\n", line.value("kind", ""), line.value("what", ""));
    }
    fmt::print("{} changes relative to revision {}\n", it->body["changes"].size(),
               it->body.value("in_force", 0));
    if (it->body.value("would_conflict", false)) {
        fmt::print("the file is based on revision {}: applying it would be refused as a conflict\n",
                   it->body.value("based_on", 0));
        return to_int(exit_code::refused);
    }
    return to_int(exit_code::done);
}

int run_status(const endpoint& daemon, bool as_json)
{
    reason why;
    const auto it = operator_client{daemon}.get("/v1/status", why);
    if (!it) {
        return report_unreachable(why);
    }
    fmt::print("{}", as_json ? write_json(it->body, json_indent) + "\n" : format_status(it->body));
    return to_int(exit_code::done);
}

int run_top(const endpoint& daemon, int rounds)
{
    for (int n = 0; rounds == 0 || n < rounds; ++n) {
        reason why;
        const auto it = operator_client{daemon}.get("/v1/status", why);
        if (!it) {
            return report_unreachable(why);
        }
        fmt::print("{}{}", clear_screen, format_status(it->body));
        std::fflush(stdout);
        QThread::msleep(top_refresh_ms);
    }
    return to_int(exit_code::done);
}

int run_drain(const endpoint& daemon, const drain_request& request)
{
    reason why;
    const json body{{"kind", request.kind}, {"id", request.id}, {"draining", request.draining}};
    const auto it = operator_client{daemon}.post("/v1/drain", write_json(body), why);
    if (!it) {
        return report_unreachable(why);
    }
    if (it->status != http_status::ok) {
        return report_refused(request.id, *it);
    }
    fmt::print("{} {} is {}\n", request.kind, request.id,
               request.draining ? "draining" : "no longer draining");
    return to_int(exit_code::done);
}

int run_stop(const endpoint& daemon)
{
    reason why;
    const auto it = operator_client{daemon}.post("/v1/stop", "", why);
    if (!it) {
        return report_unreachable(why);
    }
    fmt::print("stopping\n");
    return to_int(exit_code::done);
}

int run_explain(const endpoint& daemon, const std::string& request)
{
    reason why;
    const auto it = operator_client{daemon}.get("/v1/explain/" + request, why);
    if (!it) {
        return report_unreachable(why);
    }
    if (it->status != http_status::ok) {
        return report_refused(request, *it);
    }
    for (const auto& e : it->body["decisions"]) {
        fmt::print("{} {:<7} chosen={} reason=\"{}\" candidates=[{}]\n",
                   e.value("wall_ms", std::uint64_t{0}), e.value("step", ""), e.value("chosen", ""),
                   e.value("reason", ""), e.value("candidates", ""));
    }
    return to_int(exit_code::done);
}

} // namespace cedarpoint

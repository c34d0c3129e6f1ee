#include "compat/compat_support.h"

#include "daemon/site.h"
#include "storage/posix_file_system.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpServer>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace cedarpoint::testing_support {
namespace {

std::string read_file(const std::string& path)
{
    const std::ifstream in{path, std::ios::binary};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

std::vector<std::string> split_lines(const std::string& text)
{
    std::vector<std::string> out;
    std::istringstream in{text};
    for (std::string line; std::getline(in, line);) {
        out.push_back(line);
    }
    return out;
}

bool contains_all(const std::string& line, const std::vector<std::string>& parts)
{
    return std::all_of(parts.begin(), parts.end(), [&](const std::string& part) {
        return line.find(part) != std::string::npos;
    });
}

} // namespace

std::string test_data_path(const std::string& name)
{
    return SOURCE_DIR "/tests/compat/" + name;
}

std::string read_test_data(const std::string& name)
{
    return read_file(test_data_path(name));
}

std::vector<std::string> read_test_data_lines(const std::string& name)
{
    auto out = split_lines(read_test_data(name));
    std::erase_if(out, [](const std::string& line) { return line.empty() || line[0] == '#'; });
    return out;
}

void copy_test_data_folder(const std::string& name, const std::string& to)
{
    std::filesystem::copy(test_data_path(name), to, std::filesystem::copy_options::recursive);
}

endpoint find_free_endpoint(int host_index)
{
    // Below the ephemeral port range of the kernel.
    constexpr std::uint16_t first_port = 12'000;
    constexpr std::uint16_t last_port = 31'000;
    constexpr int addresses_per_octet = 250;
    static std::uint16_t next = first_port;
    const auto pid = static_cast<int>(QCoreApplication::applicationPid());
    const auto ip =
        fmt::format("127.{}.{}.{}", 240 + host_index,
                    pid / addresses_per_octet % addresses_per_octet, 1 + pid % addresses_per_octet);
    while (next < last_port) {
        QTcpServer server;
        if (server.listen(QHostAddress{QString::fromStdString(ip)}, ++next)) {
            return {ip, next};
        }
    }
    return {};
}

bool replay_log(const std::string& folder, const std::string& self, replicated_state& state)
{
    posix_file_system files;
    replicated_log::options options;
    options.self = member_id{self};
    auto* self_member = options.bootstrap.add_members();
    self_member->set_id(self);
    self_member->set_voter(true);
    reason why;
    // Time is an argument of the log, so several seconds are simulated without waiting.
    instant now{seconds{1000}};
    const auto log = replicated_log::open(
        now, std::move(options), &files, folder, state,
        [](const member_id& /*to*/, const wire::raft_message& /*message*/) {}, why);
    if (log == nullptr) {
        fmt::print(stderr, "{}\n", why.str());
        return false;
    }
    const auto deadline = now + seconds{10};
    while (now < deadline &&
           !(log->raft().is_leader() && log->applied() == log->raft().last_index())) {
        now += milliseconds{50};
        log->tick(now);
    }
    return now < deadline;
}

cedarpoint_process::cedarpoint_process(const std::string& subcommand,
                                       const nlohmann::json& settings)
{
    const auto folder = folder_.path().toStdString();
    std::ofstream{folder + "/settings.json"} << settings.dump();
    process_.setProcessChannelMode(QProcess::MergedChannels);
    process_.setStandardOutputFile(QString::fromStdString(folder + "/log"));
    process_.start(BINARY_DIR "/cedarpoint", {QString::fromStdString(subcommand), "--settings",
                                              folder_.filePath("settings.json")});
    process_.waitForStarted();
}

cedarpoint_process::~cedarpoint_process()
{
    signal(SIGKILL);
    process_.waitForFinished();
}

void cedarpoint_process::signal(int number) const
{
    if (process_.state() == QProcess::Running) {
        ::kill(static_cast<pid_t>(process_.processId()), number);
    }
}

std::string cedarpoint_process::log() const
{
    return read_file(folder_.filePath("log").toStdString());
}

bool cedarpoint_process::has_line(const std::vector<std::string>& parts) const
{
    const auto lines = split_lines(log());
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& line) { return contains_all(line, parts); });
}

bool cedarpoint_process::wait_for_line(const std::vector<std::string>& parts) const
{
    return wait_until([&] { return has_line(parts) || process_.state() != QProcess::Running; }) &&
           has_line(parts);
}

int cedarpoint_process::wait_for_exit()
{
    const bool exited = wait_until([&] { return process_.state() == QProcess::NotRunning; });
    return exited && process_.exitStatus() == QProcess::NormalExit ? process_.exitCode() : -1;
}

fields_by_event parse_event_fields(const std::string& log)
{
    fields_by_event out;
    for (const auto& line : split_lines(log)) {
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("event")) {
            continue;
        }
        auto& names = out[parsed.at("event").get<std::string>()];
        for (const auto& [name, value] : parsed.items()) {
            names.insert(name);
        }
    }
    return out;
}

std::set<std::string> parse_metrics(const std::string& text)
{
    const std::string prefix = "# TYPE ";
    std::set<std::string> out;
    for (const auto& line : split_lines(text)) {
        if (line.starts_with(prefix)) {
            out.insert(line.substr(prefix.size()));
        }
    }
    return out;
}

void write_observed(const std::string& name, const std::string& text)
{
    std::ofstream{std::string{BINARY_DIR} + "/found-" + name} << text;
}

} // namespace cedarpoint::testing_support

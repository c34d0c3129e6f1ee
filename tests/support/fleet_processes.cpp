#include "support/fleet_processes.h"

#include "cedarpoint/core/http_status.h"
#include "daemon/site.h"
#include "fleet/fleet_site.h"
#include "io/clock.h"

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace cedarpoint::testing_support {
namespace {

constexpr std::uint16_t mesh_port = 17'340;
constexpr std::uint16_t forwards_port = 17'341;
constexpr std::uint16_t control_port = 18'229;
constexpr std::uint16_t callers_port = 18'230;
constexpr std::uint16_t ready_port = 18'231;
const std::string redirect_library = BINARY_DIR "/libredirect_runners.so";
/// Lines of a daemon's log in the message of a failed check.
constexpr std::size_t max_described_lines = 12;

std::deque<std::string> last_lines(const std::string& file)
{
    std::deque<std::string> out;
    std::ifstream in{file};
    for (std::string line; std::getline(in, line);) {
        out.push_back(std::move(line));
        if (out.size() > max_described_lines) {
            out.pop_front();
        }
    }
    return out;
}

} // namespace

fleet_processes::fleet_processes(options options) : options_{std::move(options)}
{
    for (int index = 0; index < control_count; ++index) {
        controls_.push_back({fmt::format("127.{}.1.{}", options_.net, index + 1), control_port});
    }
    daemons_.resize(std::size_t{control_count} + static_cast<std::size_t>(options_.entry_daemons));
    for (int index = 0; index < count(); ++index) {
        std::error_code ec;
        const auto size = std::filesystem::file_size(log_file_of(index), ec);
        log_starts_.push_back(ec ? 0 : size);
    }
}

endpoint fleet_processes::mesh_address(int control) const
{
    return {controls_.at(static_cast<std::size_t>(control)).ip, mesh_port};
}

endpoint fleet_processes::bind_address(int control) const
{
    return {fmt::format("127.{}.2.{}", options_.net, control + 1), mesh_port};
}

std::string fleet_processes::ip_of_entry(int index) const
{
    return fmt::format("127.{}.3.{}", options_.net, index - control_count + 1);
}

std::string fleet_processes::runner_proxy_ip(int entry) const
{
    return fmt::format("127.{}.4.{}", options_.net, entry + 1);
}

endpoint fleet_processes::forward_address(int entry) const
{
    return {ip_of_entry(entry + control_count), forwards_port};
}

std::string fleet_processes::failure_domain_of(int index) const
{
    return options_.failure_domains == 1 ? "z"
                                         : fmt::format("z{}", index % options_.failure_domains);
}

daemon_process::variables fleet_processes::variables_of(int index) const
{
    daemon_process::variables out;
    if (!options_.preload.empty()) {
        out["LD_PRELOAD"] = options_.preload;
    }
    if (options_.behind_runner_proxies && index >= control_count) {
        out["LD_PRELOAD"] += (options_.preload.empty() ? "" : ":") + redirect_library;
        out["REDIRECT_RUNNERS_TO"] = runner_proxy_ip(index - control_count);
    }
    return out;
}

std::vector<endpoint> fleet_processes::entries() const
{
    std::vector<endpoint> out;
    for (int index = control_count; index < count(); ++index) {
        out.push_back({ip_of_entry(index), callers_port});
    }
    return out;
}

std::string fleet_processes::data_folder_of(int control) const
{
    return fmt::format("{}/data-{}", folder_.path().toStdString(),
                       controls_.at(static_cast<std::size_t>(control)).ip);
}

std::string fleet_processes::write_settings(int index, bool first_start)
{
    nlohmann::json settings_json{{"name", fmt::format("d-{}", index)},
                                 {"failure_domain", failure_domain_of(index)}};
    for (const auto& address : controls_) {
        settings_json["seeds"].push_back(address.str());
    }
    if (index < control_count) {
        settings_json["role"] = "control";
        settings_json["address"] = mesh_address(index).str();
        if (options_.behind_proxies) {
            settings_json["bind"] = bind_address(index).str();
        }
        settings_json["control"] = controls_[static_cast<std::size_t>(index)].str();
        settings_json["data_folder"] = data_folder_of(index);
        settings_json["first_start"] = first_start;
        settings_json["heartbeat_ms"] = runner_heartbeat.count();
    }
    else {
        settings_json["role"] = "entry";
        settings_json["address"] = endpoint{ip_of_entry(index), mesh_port}.str();
        if (index - control_count < options_.forwarding_entry_daemons) {
            settings_json["forwards"] = forward_address(index - control_count).str();
        }
        settings_json["callers"] = endpoint{ip_of_entry(index), callers_port}.str();
        settings_json["ready"] = endpoint{ip_of_entry(index), ready_port}.str();
        if (options_.retry_ratio > 0) {
            settings_json["retry_budget"]["ratio"] = options_.retry_ratio;
        }
    }
    auto settings_file = fmt::format("{}/d-{}.json", folder_.path().toStdString(), index);
    std::ofstream{settings_file} << settings_json.dump();
    return settings_file;
}

void fleet_processes::start(int index, bool first_start)
{
    const auto settings_file = write_settings(index, first_start);
    daemons_[static_cast<std::size_t>(index)] =
        std::make_unique<daemon_process>(settings_file, log_file_of(index), variables_of(index));
}

void fleet_processes::replace_control(int control)
{
    end(control);
    ++replacements_;
    const int number = control + 1 + control_count * replacements_;
    controls_.at(static_cast<std::size_t>(control)).ip =
        fmt::format("127.{}.1.{}", options_.net, number);
    for (int index = 0; index < count(); ++index) {
        write_settings(index, false);
    }
    start(control, false);
    replaced_at_.at(static_cast<std::size_t>(control)) = steady_now();
}

void fleet_processes::end(int index)
{
    daemons_.at(static_cast<std::size_t>(index)).reset();
}

void fleet_processes::lose_disk(int control) const
{
    std::filesystem::remove_all(data_folder_of(control));
}

bool fleet_processes::has_replaced(int control) const
{
    if (steady_now() - replaced_at_.at(static_cast<std::size_t>(control)) < catch_up_time) {
        return false;
    }
    const auto text = fmt::format("member={} present=true voter=true", mesh_address(control).str());
    for (int index = 0; index < control_count; ++index) {
        std::ifstream in{log_file_of(index)};
        in.seekg(static_cast<std::streamoff>(log_starts_.at(static_cast<std::size_t>(index))));
        for (std::string line; std::getline(in, line);) {
            if (line.find(text) != std::string::npos) {
                return true;
            }
        }
    }
    return false;
}

void fleet_processes::start_all()
{
    for (int index = 0; index < count(); ++index) {
        start(index, true);
    }
}

std::optional<int> fleet_processes::leader() const
{
    for (int index = 0; index < control_count; ++index) {
        const auto& address = controls_[static_cast<std::size_t>(index)];
        if (call(address, "GET", "/cedarpoint/config/get", "", "").head.status == 200) {
            return index;
        }
    }
    return {};
}

bool fleet_processes::put(const std::string& document, std::optional<int> suspended) const
{
    return wait_until([&] {
        for (int index = 0; index < control_count; ++index) {
            const auto& address = controls_[static_cast<std::size_t>(index)];
            if (index != suspended &&
                call(address, "POST", "/cedarpoint/config/put", "", document).head.status == 200) {
                return true;
            }
        }
        return false;
    });
}

bool fleet_processes::wait_serving(const std::string& target) const
{
    const auto addresses = entries();
    return std::all_of(addresses.begin(), addresses.end(), [&](const endpoint& entry) {
        return wait_until([&] {
            const auto answer = call(entry, "GET", target, "X-Cedarpoint-Request-Id: 0-w\r\n", "");
            return answer.head.status == http_status::ok;
        });
    });
}

std::string fleet_processes::describe_controls() const
{
    std::string out;
    for (int index = 0; index < control_count; ++index) {
        const auto& daemon = daemons_[static_cast<std::size_t>(index)];
        out += fmt::format("\ncontrol daemon {}, running: {}\n  {}", index,
                           daemon != nullptr && daemon->is_running(),
                           fmt::join(last_lines(log_file_of(index)), "\n  "));
    }
    return out;
}

std::string fleet_processes::log_file_of(int index) const
{
    return fmt::format("{}/{}-{}.log", BINARY_DIR, options_.log_name, index);
}

} // namespace cedarpoint::testing_support

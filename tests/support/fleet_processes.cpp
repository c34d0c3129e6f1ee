#include "support/fleet_processes.h"

#include "cedarpoint/core/http_status.h"
#include "daemon/site.h"
#include "fleet/fleet_site.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

namespace cedarpoint::testing_support {
namespace {

constexpr std::uint16_t mesh_port = 17'340;
constexpr std::uint16_t control_port = 18'229;
constexpr std::uint16_t callers_port = 18'230;
constexpr std::uint16_t ready_port = 18'231;

} // namespace

fleet_processes::fleet_processes(options options) : options_{std::move(options)}
{
    for (int which = 0; which < control_count; ++which) {
        controls_.push_back({fmt::format("127.{}.1.{}", options_.net, which + 1), control_port});
    }
    daemons_.resize(std::size_t{control_count} + static_cast<std::size_t>(options_.entry_daemons));
}

endpoint fleet_processes::mesh_address(int control) const
{
    return {controls_.at(static_cast<std::size_t>(control)).ip, mesh_port};
}

endpoint fleet_processes::bind_address(int control) const
{
    return {fmt::format("127.{}.2.{}", options_.net, control + 1), mesh_port};
}

std::string fleet_processes::ip_of_entry(int which) const
{
    return fmt::format("127.{}.3.{}", options_.net, which - control_count + 1);
}

std::vector<endpoint> fleet_processes::entries() const
{
    std::vector<endpoint> out;
    for (int which = control_count; which < count(); ++which) {
        out.push_back({ip_of_entry(which), callers_port});
    }
    return out;
}

void fleet_processes::start(int which, bool first)
{
    nlohmann::json own{{"name", fmt::format("d-{}", which)}, {"failure_domain", "z"}};
    for (const auto& at : controls_) {
        own["seeds"].push_back(at.str());
    }
    if (which < control_count) {
        own["role"] = "control";
        own["address"] = mesh_address(which).str();
        if (options_.behind_proxies) {
            own["bind"] = bind_address(which).str();
        }
        own["control"] = controls_[static_cast<std::size_t>(which)].str();
        own["data_folder"] = fmt::format("{}/data-{}", folder_.path().toStdString(), which);
        own["first_start"] = first;
        own["heartbeat_ms"] = runner_heartbeat.count();
    }
    else {
        own["role"] = "entry";
        own["address"] = endpoint{ip_of_entry(which), mesh_port}.str();
        own["callers"] = endpoint{ip_of_entry(which), callers_port}.str();
        own["ready"] = endpoint{ip_of_entry(which), ready_port}.str();
        if (options_.retry_ratio > 0) {
            own["retry_budget"]["ratio"] = options_.retry_ratio;
        }
    }
    const auto file = fmt::format("{}/d-{}.json", folder_.path().toStdString(), which);
    std::ofstream{file} << own.dump();
    const auto log = fmt::format("{}/{}-{}.log", BINARY_DIR, options_.log_name, which);
    daemons_[static_cast<std::size_t>(which)] =
        std::make_unique<daemon_process>(file, log, options_.preload);
}

void fleet_processes::start_all()
{
    for (int which = 0; which < count(); ++which) {
        start(which, true);
    }
}

std::optional<int> fleet_processes::leader() const
{
    for (int which = 0; which < control_count; ++which) {
        const auto& at = controls_[static_cast<std::size_t>(which)];
        if (call(at, "GET", "/cedarpoint/config/get", "", "").head.status == 200) {
            return which;
        }
    }
    return {};
}

bool fleet_processes::put(const std::string& document, std::optional<int> stopped) const
{
    return wait_until([&] {
        for (int which = 0; which < control_count; ++which) {
            const auto& at = controls_[static_cast<std::size_t>(which)];
            if (which != stopped &&
                call(at, "POST", "/cedarpoint/config/put", "", document).head.status == 200) {
                return true;
            }
        }
        return false;
    });
}

bool fleet_processes::wait_serving(const std::string& target) const
{
    const auto all = entries();
    return std::all_of(all.begin(), all.end(), [&](const endpoint& entry) {
        return wait_until([&] {
            const auto answer = call(entry, "GET", target, "X-Cedarpoint-Request-Id: 0-w\r\n", "");
            return answer.head.status == http_status::ok;
        });
    });
}

} // namespace cedarpoint::testing_support

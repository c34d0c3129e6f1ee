#include "cli/status_view.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <string_view>

namespace cedarpoint {
namespace {

using json = nlohmann::json;

/// Format string of a row in the table of groups: failure domain, group, state, epoch, nodes.
constexpr std::string_view group_row = "{:<14} {:<20} {:<9} {:>6}  {}\n";

std::string format_log(const char* name, const json& log)
{
    return fmt::format("{:<10} leader {:<12} term {:<4} committed {:<8} applied {:<8}{}\n", name,
                       log.value("leader", "").empty() ? "none" : log.value("leader", ""),
                       log.value("term", 0), log.value("committed", 0), log.value("applied", 0),
                       log.value("holds_lease", false) ? " lease" : "");
}

std::string format_groups(const std::string& domain, const json& groups)
{
    std::string out;
    for (const auto& it : groups) {
        std::string nodes;
        for (const auto& node : it["nodes"]) {
            nodes += (nodes.empty() ? "" : ",") + node.get<std::string>();
        }
        out += fmt::format(group_row, domain, it.value("id", ""), it.value("state", ""),
                           it.value("epoch", 0), nodes);
    }
    return out;
}

} // namespace

std::string format_status(const json& status)
{
    const auto& requests = status["requests"];
    std::string out = fmt::format("daemon {} in {}: {}, revision {} ({}), grant {} ms old\n",
                                  status.value("daemon", ""), status.value("failure_domain", ""),
                                  status.value("ready", false) ? "ready" : "not ready",
                                  status.value("revision", 0), status.value("change_id", ""),
                                  status.value("grant_age_ms", 0));
    out += fmt::format("requests in flight {}, queued {}, sessions {}\n",
                       requests.value("in_flight", 0), requests.value("queued", 0),
                       requests.value("sessions", 0));
    out += format_log("domain log", status["domain_log"]);
    if (status.contains("root_log")) {
        out += format_log("root log", status["root_log"]);
    }
    out += "\n" + fmt::format(group_row, "DOMAIN", "GROUP", "STATE", "EPOCH", "NODES");
    out += format_groups(status.value("failure_domain", ""), status["groups"]);
    for (const auto& [domain, it] : status["other_domains"].items()) {
        out += format_groups(domain, it["groups"]);
    }
    std::string absent;
    std::string spare;
    for (const auto& it : status["nodes"]) {
        if (!it.value("present", false)) {
            absent += " " + it.value("id", "");
        }
        else if (it.value("group", "").empty()) {
            spare += " " + it.value("id", "");
        }
    }
    out += "\nabsent nodes:" + (absent.empty() ? " none" : absent) +
           "\nspare nodes:" + (spare.empty() ? " none" : spare) + "\n";
    return out;
}

} // namespace cedarpoint

#include "daemon/status_report.h"

#include "daemon/daemon.h"

#include <nlohmann/json.hpp>

namespace cedarpoint {
namespace {

using json = nlohmann::json;

json describe_log(const replicated_log& log, instant now)
{
    const auto& raft = log.raft();
    auto members = json::array();
    for (const auto& it : raft.members().members()) {
        members.push_back({{"id", it.id()}, {"voter", it.voter()}});
    }
    return {{"leader", raft.leader().str()},
            {"leads", raft.is_leader()},
            {"holds_lease", raft.holds_lease(now)},
            {"term", raft.term()},
            {"committed", raft.commit()},
            {"applied", log.applied()},
            {"members", members}};
}

json describe_group(const group_record& it)
{
    auto nodes = json::array();
    for (const auto& node : it.nodes) {
        nodes.push_back(node.str());
    }
    return {{"id", it.id.str()},
            {"state", std::string{name_of(it.state)}},
            {"epoch", it.assignment.value},
            {"model", it.model.str()},
            {"version", it.version},
            {"nodes", nodes}};
}

json describe_groups(const control_plane& control)
{
    auto out = json::array();
    for (const auto& [id, it] : control.domain().groups().records()) {
        out.push_back(describe_group(it));
    }
    return out;
}

json describe_nodes(const control_plane& control, const failure_domain_id& home, instant now)
{
    auto out = json::array();
    const auto& config = *control.domain().config();
    for (const auto& node : config.nodes) {
        if (config.domain_of(node) != home) {
            continue;
        }
        const auto* runner = config.find_runner_on(node.id);
        const auto* group = control.domain().groups().find_by_node(node.id);
        out.push_back(
            {{"id", node.id.str()},
             {"present", runner != nullptr && control.watch().is_present(now, runner->id)},
             {"draining", control.domain().drains().nodes.contains(node.id)},
             {"group", group == nullptr ? "" : group->id.str()}});
    }
    return out;
}

json describe_remote_domains(const control_plane& control, instant now)
{
    auto out = json::object();
    for (const auto& [id, it] : control.remote_domain_views().all()) {
        auto groups = json::array();
        for (const auto& group : it.groups) {
            groups.push_back(describe_group(group));
        }
        out[id.str()] = {{"grant_age_ms", it.granted ? to_ms(now - *it.granted) : -1},
                         {"groups", groups}};
    }
    return out;
}

} // namespace

json make_status(daemon& of, instant now)
{
    const auto& control = of.control();
    const auto grant = control.granted_at(now);
    json out{{"daemon", of.daemon_settings().id.str()},
             {"failure_domain", of.daemon_settings().failure_domain.str()},
             {"ready", of.is_ready()},
             {"stopping", of.is_stopping()},
             {"revision", control.domain().in_force().value},
             {"change_id", control.domain().accepted().change_id()},
             {"grant_age_ms", grant ? to_ms(now - *grant) : -1},
             {"requests",
              {{"in_flight", of.requests().in_flight()},
               {"queued", of.requests().queued()},
               {"sessions", of.requests().sessions()}}},
             {"domain_log", describe_log(control.domain_log(), now)},
             {"groups", describe_groups(control)},
             {"nodes", describe_nodes(control, of.daemon_settings().failure_domain, now)},
             {"other_domains", describe_remote_domains(control, now)}};
    if (control.root_log() != nullptr) {
        out["root_log"] = describe_log(*control.root_log(), now);
    }
    return out;
}

} // namespace cedarpoint

#include "cedarpoint/fleet/view_builder.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cedarpoint {
namespace {

/// A plain runner from which neither the leader nor an entry daemon has received anything for this
/// many heartbeat intervals is omitted from the view.
constexpr int heartbeats_until_lost = 3;

view_runner make_runner(const runner_id& id, const announcement& in)
{
    view_runner out;
    out.id = id;
    out.its_incarnation = in.born;
    out.service = in.service;
    out.address = in.address;
    out.failure_domain = in.failure_domain;
    out.slots = in.slots;
    return out;
}

view_group make_group(const planned_group& in, bool accepting)
{
    return {in.name, in.assignment, in.service, in.model, in.members, accepting};
}

/// Returns true if requests go to the service's runners directly rather than to heads of groups.
bool is_plain(const fleet_service* service)
{
    return service == nullptr || !service->engine;
}

} // namespace

view_builder::view_builder(duration heartbeat, const runner_registry& registry,
                           const health_reports& reports, const fleet_state& state)
    : heartbeat_{heartbeat}, registry_{registry}, reports_{reports}, state_{state}
{
}

view_content view_builder::build(instant now, const fleet_configuration& configuration,
                                 const group_plan::group_map& groups) const
{
    view_content out;
    add_plain_runners(now, configuration, out);
    add_groups(now, configuration, groups, out);
    out.entry_daemons = reports_.entry_daemons(now);
    return out;
}

bool view_builder::is_usable(instant now, const runner_record& record) const
{
    // A runner that this leader doesn't hear may serve the entry daemons all the same.
    const auto latest_life = std::max(record.last_contact, reports_.latest_byte(record.latest.id));
    return registry_.is_present(record) && !record.latest.draining &&
           !state_.is_leaving(record.latest.id) &&
           now - latest_life < heartbeat_ * heartbeats_until_lost;
}

void view_builder::add_plain_runners(instant now, const fleet_configuration& configuration,
                                     view_content& out) const
{
    std::map<service_id, std::vector<runner_id>> peers;
    for (const auto& [runner, record] : registry_.records()) {
        const auto& service = record.latest.service;
        if (is_plain(configuration.find_service(service)) && is_usable(now, record)) {
            out.runners[runner] = make_runner(runner, record.latest);
            peers[service].push_back(runner);
        }
    }
    for (const auto& [service, runners] : peers) {
        mark_health(now, runners, out);
    }
}

void view_builder::add_groups(instant now, const fleet_configuration& configuration,
                              const group_plan::group_map& groups, view_content& out) const
{
    std::map<model_id, std::vector<runner_id>> peers;
    for (const auto& [name, group] : groups) {
        const bool serves = group.phase == plan_phase::serving;
        const auto* record = registry_.find(group.head());
        if (record == nullptr || !(serves || group.phase == plan_phase::retiring)) {
            continue;
        }
        auto head = make_runner(group.head(), record->latest);
        if (const auto* service = configuration.find_service(group.service); !is_plain(service)) {
            head.slots = service->engine->slots;
        }
        out.groups[name] = make_group(group, serves);
        out.runners[group.head()] = std::move(head);
        peers[group.model].push_back(group.head());
    }
    for (const auto& [model, heads] : peers) {
        mark_health(now, heads, out);
    }
}

void view_builder::mark_health(instant now, const std::vector<runner_id>& peers,
                               view_content& out) const
{
    for (const auto& peer : peers) {
        out.runners[peer].suspected = reports_.health_of(now, peer).stalled;
    }
    for (const auto& [peer, slowness] : reports_.latencies().slow_runners(now, peers)) {
        out.runners[peer].slowness = static_cast<int>(slowness);
    }
}

} // namespace cedarpoint

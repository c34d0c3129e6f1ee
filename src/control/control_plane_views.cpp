// Read-only views of the state: targets, runners to poll, counts.

#include "control/control_plane_priv.h"

#include "cedarpoint/core/hash.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// A daemon that has sent no message for this long does not count as a watcher.
constexpr duration peer_silence = seconds{4};
/// The number of the domain's daemons that poll each runner.
constexpr std::size_t watchers_per_runner = 2;

} // namespace

const domain_state& control_plane::domain() const
{
    return domain_->state;
}

std::optional<instant> control_plane::granted_at(instant now) const
{
    return domain_log_->raft().granted_at(now);
}

bool control_plane::is_ready(instant now) const
{
    return was_ready_ || granted_at(now).has_value();
}

std::optional<reason> control_plane::failure() const
{
    if (domain_log_->failure()) {
        return domain_log_->failure();
    }
    return root_log_ == nullptr ? std::nullopt : root_log_->failure();
}

std::optional<reason> control_plane::write_failure() const
{
    if (domain_log_->write_failure()) {
        return domain_log_->write_failure();
    }
    return root_log_ == nullptr ? std::nullopt : root_log_->write_failure();
}

int control_plane::stranded_accelerators(instant now) const
{
    const auto& config = *domain_->state.config();
    int out = 0;
    for (const auto& node : config.nodes) {
        const auto* runner = config.find_runner_on(node.id);
        const auto* group = domain_->state.groups().find_by_node(node.id);
        const bool in_domain = config.domain_of(node) == options_.daemon_settings.failure_domain;
        const bool serves = group != nullptr && group->state == group_state::serving;
        if (in_domain && !serves && runner != nullptr && watch_.is_present(now, runner->id)) {
            out += node.accelerators;
        }
    }
    return out;
}

std::vector<runner_spec> control_plane::watched(instant now) const
{
    const auto& settings = options_.daemon_settings;
    std::vector<daemon_id> watchers{settings.id};
    for (const auto& it : settings.peers) {
        const auto heard = last_message_at_.find(it.id);
        if (it.failure_domain == settings.failure_domain && it.id != settings.id &&
            heard != last_message_at_.end() && now - heard->second < peer_silence) {
            watchers.push_back(it.id);
        }
    }
    std::vector<runner_spec> out;
    const auto& config = *domain_->state.config();
    for (const auto& runner : config.runners) {
        const auto* node = config.find_node(runner.node);
        if (node == nullptr || config.domain_of(*node) != settings.failure_domain) {
            continue;
        }
        const auto mine = hash_of(settings.id.str() + "\n" + runner.id.str());
        const auto before =
            std::count_if(watchers.begin(), watchers.end(), [&](const daemon_id& it) {
                return hash_of(it.str() + "\n" + runner.id.str()) < mine;
            });
        if (static_cast<std::size_t>(before) < watchers_per_runner) {
            out.push_back(runner);
        }
    }
    return out;
}

void control_plane::add_group_targets(instant now, const group_record& it, instant valid_until,
                                      const failure_domain_id& home, target_table& out) const
{
    const auto* runner = domain_->state.config()->find_runner_on(it.nodes.front());
    if (runner == nullptr ||
        (it.state != group_state::serving && it.state != group_state::draining)) {
        return;
    }
    target place;
    place.upstream = runner->id;
    place.group = it.id;
    place.pool = it.pool;
    place.assignment = it.assignment;
    place.address = runner->address;
    place.slots = runner->slots;
    place.failure_domain = home;
    place.valid_until = valid_until;
    place.draining = it.state == group_state::draining;
    if (home == options_.daemon_settings.failure_domain) {
        place.present = std::all_of(it.nodes.begin(), it.nodes.end(), [&](const node_id& node) {
            const auto* member = domain_->state.config()->find_runner_on(node);
            return member != nullptr && watch_.is_present(now, member->id);
        });
    }
    out.push_back(std::move(place));
}

target_table control_plane::targets(instant now,
                                    const std::function<int(const runner_id&)>& own_in_flight) const
{
    target_table out;
    const auto valid_until = [&](const std::optional<instant>& grant) {
        return grant ? *grant + options_.daemon_settings.grant_ttl : instant{};
    };
    const auto own_until = valid_until(granted_at(now));
    for (const auto& [id, it] : domain_->state.groups().records()) {
        add_group_targets(now, it, own_until, options_.daemon_settings.failure_domain, out);
    }
    for (const auto& [domain, view] : remote_domains_.all()) {
        for (const auto& it : view.groups) {
            add_group_targets(now, it, valid_until(view.granted), domain, out);
        }
    }
    for (auto& it : out) {
        it.reported_others = std::max(0, reported_in_flight(it) - own_in_flight(it.upstream));
    }
    add_service_targets(own_until, out);
    return out;
}

int control_plane::reported_in_flight(const target& it) const
{
    if (const auto other = remote_domains_.all().find(it.failure_domain);
        other != remote_domains_.all().end()) {
        const auto load = other->second.in_flight.find(it.upstream);
        return load == other->second.in_flight.end() ? 0 : load->second;
    }
    const auto report = watch_.report_of(it.upstream);
    return report ? report->in_flight : 0;
}

void control_plane::add_service_targets(instant own_until, target_table& out) const
{
    for (const auto& service : domain_->state.config()->services) {
        for (const auto& it : service.upstreams) {
            target place;
            place.upstream = it.id;
            place.service = service.id;
            place.address = it.address;
            place.slots = it.slots;
            place.failure_domain = it.failure_domain;
            set_service_grant(own_until, place);
            out.push_back(std::move(place));
        }
    }
}

void control_plane::set_service_grant(instant own_until, target& place) const
{
    if (place.failure_domain == options_.daemon_settings.failure_domain) {
        place.valid_until = own_until;
        place.draining = domain_->state.drains().runners.contains(place.upstream);
        return;
    }
    const auto other = remote_domains_.all().find(place.failure_domain);
    if (other != remote_domains_.all().end() && other->second.granted) {
        place.valid_until = *other->second.granted + options_.daemon_settings.grant_ttl;
        place.draining = other->second.drains.runners.contains(place.upstream);
    }
}

} // namespace cedarpoint

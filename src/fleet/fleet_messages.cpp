#include "cedarpoint/fleet/fleet_messages.h"

#include "cedarpoint/fleet/fleet_view.h"
#include "cedarpoint/quarantine/crash_messages.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cedarpoint {
namespace {

/// Longest time in a message, in milliseconds. No rule distinguishes longer times.
constexpr std::int64_t max_message_ms = 1'000'000;

std::uint32_t to_wire_ms(milliseconds in)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(in.count(), 0, max_message_ms));
}

wire::fleet_item encode_item(const view_runner& in)
{
    wire::fleet_item item;
    item.set_key(runner_key(in.id.str()));
    auto& out = *item.mutable_runner();
    out.set_id(in.id.str());
    out.set_service(in.service.str());
    out.set_address(in.address.str());
    out.set_failure_domain(in.failure_domain.str());
    out.set_slots(static_cast<std::uint32_t>(in.slots));
    out.set_accepting(in.accepting);
    out.set_doubted(in.suspected);
    out.set_slowness(static_cast<std::uint32_t>(in.slowness));
    out.set_born(in.its_incarnation.value);
    return item;
}

wire::fleet_item encode_item(const view_group& in)
{
    wire::fleet_item item;
    item.set_key(group_key(in.name.str()));
    auto& out = *item.mutable_group();
    out.set_name(in.name.str());
    out.set_epoch(in.assignment.value);
    out.set_service(in.service.str());
    out.set_model(in.model.str());
    for (const auto& member : in.members) {
        out.add_members(member.str());
    }
    out.set_accepting(in.accepting);
    return item;
}

std::string key_of(const crash_cause& cause)
{
    if (const auto* part = std::get_if<prompt_part>(&cause)) {
        return prompt_part_key(part->model.str(), part->id.str());
    }
    return request_key(std::get<request_fingerprint>(cause).str());
}

wire::fleet_item encode_item(const crash_cause& cause, int crashes)
{
    wire::fleet_item item;
    item.set_key(key_of(cause));
    encode_cause(cause, *item.mutable_crashes());
    item.mutable_crashes()->set_count(static_cast<std::uint32_t>(crashes));
    return item;
}

wire::fleet_item encode_item(const entry_peer& in)
{
    wire::fleet_item item;
    item.set_key(entry_daemon_key(in.address.str()));
    auto& out = *item.mutable_entry_daemon();
    out.set_address(in.address.str());
    out.set_failure_domain(in.failure_domain.str());
    out.set_cut_off(in.cut_off);
    return item;
}

view_runner decode_runner(const wire::fleet_runner& in, const endpoint& address)
{
    view_runner out;
    out.id = runner_id{in.id()};
    out.its_incarnation = incarnation{in.born()};
    out.service = service_id{in.service()};
    out.address = address;
    out.failure_domain = failure_domain_id{in.failure_domain()};
    out.slots = static_cast<int>(in.slots());
    out.accepting = in.accepting();
    out.suspected = in.doubted();
    out.slowness = static_cast<int>(in.slowness());
    return out;
}

view_group decode_group(const wire::fleet_group& in)
{
    view_group out;
    out.name = group_id{in.name()};
    out.assignment = epoch{in.epoch()};
    out.service = service_id{in.service()};
    out.model = model_id{in.model()};
    for (const auto& member : in.members()) {
        out.members.emplace_back(member);
    }
    out.accepting = in.accepting();
    return out;
}

runner_observation decode_observation(const wire::runner_sighting& in)
{
    runner_observation out;
    out.in_flight = static_cast<int>(in.in_flight());
    out.silence = milliseconds{in.silent_ms()};
    out.since_byte = milliseconds{in.byte_ms()};
    out.failed_connects = in.unreachable();
    out.refused = in.refused();
    out.waits = in.waits();
    out.waited = duration{static_cast<duration::rep>(in.waited_us())};
    return out;
}

void encode_observation(const runner_observation& in, wire::runner_sighting& out)
{
    out.set_in_flight(static_cast<std::uint32_t>(in.in_flight));
    out.set_silent_ms(to_wire_ms(in.silence));
    out.set_byte_ms(to_wire_ms(in.since_byte));
    out.set_unreachable(in.failed_connects);
    out.set_refused(in.refused);
    out.set_waits(in.waits);
    out.set_waited_us(static_cast<std::uint64_t>(in.waited.count()));
}

void encode_rate_limit(const rate_limit_observation& in, wire::rate_limit_sighting& out)
{
    out.set_wanted(in.wanted);
    out.set_used(in.used);
    out.set_unused(in.unused);
    if (in.rate) {
        out.set_named(true);
        out.set_rate(in.rate->per_second);
        out.set_named_ms(to_wire_ms(in.named_age));
    }
    if (in.not_named_age) {
        out.set_not_named(true);
        out.set_not_named_ms(to_wire_ms(*in.not_named_age));
    }
}

rate_limit_observation decode_rate_limit(const wire::rate_limit_sighting& in)
{
    rate_limit_observation out;
    out.wanted = in.wanted();
    out.used = in.used();
    out.unused = in.unused();
    if (in.named()) {
        out.rate = request_rate{in.rate()};
        out.named_age = milliseconds{in.named_ms()};
    }
    if (in.not_named()) {
        out.not_named_age = milliseconds{in.not_named_ms()};
    }
    return out;
}

} // namespace

view_items encode(const view_content& in)
{
    view_items out;
    for (const auto& [id, runner] : in.runners) {
        out[runner_key(id.str())] = encode_item(runner);
    }
    for (const auto& [name, group] : in.groups) {
        out[group_key(name.str())] = encode_item(group);
    }
    for (const auto& [cause, crashes] : in.crashes) {
        out[key_of(cause)] = encode_item(cause, crashes);
    }
    for (const auto& peer : in.entry_daemons) {
        out[entry_daemon_key(peer.address.str())] = encode_item(peer);
    }
    return out;
}

view_content decode(const view_items& in)
{
    view_content out;
    for (const auto& [key, item] : in) {
        if (item.has_group()) {
            auto group = decode_group(item.group());
            out.groups[group.name] = std::move(group);
        }
        else if (item.has_crashes()) {
            if (const auto cause = decode_cause(item.crashes())) {
                out.crashes[*cause] = static_cast<int>(item.crashes().count());
            }
        }
        else if (item.has_entry_daemon()) {
            const auto& peer = item.entry_daemon();
            if (const auto address = endpoint::parse(peer.address())) {
                out.entry_daemons.push_back(
                    {*address, failure_domain_id{peer.failure_domain()}, peer.cut_off()});
            }
        }
        else if (const auto address = endpoint::parse(item.runner().address())) {
            auto runner = decode_runner(item.runner(), *address);
            out.runners[runner.id] = std::move(runner);
        }
    }
    return out;
}

void encode(const health_report& in, wire::fleet_follow& out)
{
    for (const auto& [runner, seen] : in.runners) {
        auto* each = out.add_sightings();
        each->set_runner(runner.str());
        encode_observation(seen, *each);
    }
    for (const auto& [runner, check] : in.checks) {
        auto* each = out.add_checks();
        each->set_runner(runner.str());
        each->set_reachable(check.reachable);
        // Not limited to `max_message_ms`, unlike the other times.
        each->set_age_ms(static_cast<std::uint32_t>(check.age.count()));
    }
    for (const auto& [model, demand] : in.demand) {
        auto* each = out.add_demand();
        each->set_model(model.str());
        each->set_started(demand.started);
        each->set_refused(demand.rejected);
    }
    for (const auto& [runner, seen] : in.rate_limits) {
        auto* each = out.add_rate_limits();
        each->set_runner(runner.str());
        encode_rate_limit(seen, *each);
    }
    for (const auto& [runner, its_incarnation] : in.leaving) {
        auto* each = out.add_leaving();
        each->set_runner(runner.str());
        each->set_born(its_incarnation.value);
    }
    out.set_cut_off(in.cut_off);
    if (in.as_peer) {
        out.set_forward_address(in.as_peer->address.str());
    }
}

health_report decode_report(const wire::fleet_follow& in)
{
    health_report out;
    for (const auto& each : in.sightings()) {
        out.runners[runner_id{each.runner()}] = decode_observation(each);
    }
    for (const auto& each : in.checks()) {
        out.checks[runner_id{each.runner()}] = {milliseconds{each.age_ms()}, each.reachable()};
    }
    for (const auto& each : in.demand()) {
        out.demand[model_id{each.model()}] = {each.started(), each.refused()};
    }
    for (const auto& each : in.rate_limits()) {
        out.rate_limits[runner_id{each.runner()}] = decode_rate_limit(each);
    }
    for (const auto& each : in.leaving()) {
        out.leaving[runner_id{each.runner()}] = incarnation{each.born()};
    }
    out.cut_off = in.cut_off();
    if (const auto address = endpoint::parse(in.forward_address())) {
        out.as_peer = {*address, failure_domain_id{in.failure_domain()}, in.cut_off()};
    }
    return out;
}

std::vector<suspect> decode_suspects(const wire::fleet_update& in)
{
    std::vector<suspect> out;
    for (const auto& each : in.suspects()) {
        // A runner without a valid address cannot be tried. The registry contains none.
        if (const auto address = endpoint::parse(each.address())) {
            out.push_back({runner_id{each.runner()}, *address});
        }
    }
    return out;
}

void encode_loads(const std::map<runner_id, int>& in_flight, wire::fleet_update& out)
{
    for (const auto& [runner, count] : in_flight) {
        auto* load = out.add_loads();
        load->set_runner(runner.str());
        load->set_in_flight(static_cast<std::uint32_t>(count));
    }
}

std::optional<std::map<runner_id, int>> decode_loads(const wire::fleet_update& in)
{
    if (in.loads_size() == 0 && in.items_size() > 0) {
        return {};
    }
    std::map<runner_id, int> out;
    for (const auto& load : in.loads()) {
        out[runner_id{load.runner()}] = static_cast<int>(load.in_flight());
    }
    return out;
}

void encode_grants(const std::map<runner_id, permit_grant>& in, wire::fleet_update& out)
{
    for (const auto& [runner, grant] : in) {
        auto* each = out.add_rate_limits();
        each->set_runner(runner.str());
        each->set_rate(grant.rate.per_second);
        each->set_permits(grant.permits);
    }
}

std::map<runner_id, permit_grant> decode_grants(const wire::fleet_update& in)
{
    std::map<runner_id, permit_grant> out;
    for (const auto& each : in.rate_limits()) {
        out[runner_id{each.runner()}] = {request_rate{each.rate()}, each.permits()};
    }
    return out;
}

} // namespace cedarpoint

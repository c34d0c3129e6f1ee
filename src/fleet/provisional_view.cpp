#include "cedarpoint/fleet/provisional_view.h"

#include "cedarpoint/fleet/fleet_view.h"

namespace cedarpoint {
namespace {

void add_runner(wire::fleet_update& out, const registered_runner& in, int slots)
{
    auto& item = *out.add_items();
    item.set_key(runner_key(in.runner.str()));
    auto& runner = *item.mutable_runner();
    runner.set_id(in.runner.str());
    runner.set_service(in.service.str());
    runner.set_address(in.address.str());
    runner.set_failure_domain(in.failure_domain.str());
    runner.set_slots(static_cast<std::uint32_t>(slots));
    runner.set_accepting(true);
}

void add_group(wire::fleet_update& out, const formed_group& in)
{
    auto& item = *out.add_items();
    item.set_key(group_key(in.name.str()));
    auto& group = *item.mutable_group();
    group.set_name(in.name.str());
    group.set_epoch(in.assignment.value);
    group.set_service(in.service.str());
    group.set_model(in.model.str());
    for (const auto& member : in.members) {
        group.add_members(member.str());
    }
    group.set_accepting(true);
}

} // namespace

wire::fleet_update make_provisional_view(const fleet_state& state,
                                         const fleet_configuration& configuration,
                                         std::uint64_t index)
{
    wire::fleet_update out;
    out.set_provisional(true);
    out.set_reset(true);
    out.set_to(index);
    auto& accepted = *out.add_items();
    accepted.set_key(configuration_key());
    *accepted.mutable_configuration() = state.configuration();
    const auto& runners = state.registrations();
    for (const auto& [name, group] : state.groups()) {
        const auto head = runners.find(group.members.front());
        const auto* service = configuration.find_service(group.service);
        if (head == runners.end() || service == nullptr || !service->engine) {
            continue;
        }
        add_group(out, group);
        add_runner(out, head->second, service->engine->slots);
    }
    for (const auto& [runner, registration] : runners) {
        const auto* service = configuration.find_service(registration.service);
        const bool plain = service == nullptr || !service->engine;
        if (plain && !state.is_leaving(runner)) {
            add_runner(out, registration, registration.slots);
        }
    }
    return out;
}

} // namespace cedarpoint

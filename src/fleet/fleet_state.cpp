#include "cedarpoint/fleet/fleet_state.h"

#include "cedarpoint/core/packing.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/quarantine/crash_messages.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Maximum size of an unpacked document; operators' calls are limited to 16 MB.
constexpr std::size_t max_document_bytes = 64 << 20;

/// Returns the runner; empty if the address is invalid, which no record in the log has.
std::optional<registered_runner> decode(const wire::registration& in)
{
    const auto address = endpoint::parse(in.address());
    if (!address) {
        return {};
    }
    return registered_runner{runner_id{in.runner()},
                             service_id{in.service()},
                             *address,
                             failure_domain_id{in.failure_domain()},
                             fabric_domain_id{in.fabric_domain()},
                             static_cast<int>(in.slots()),
                             model_id{in.loaded_model()},
                             incarnation{in.born()}};
}

wire::registration encode(const registered_runner& in)
{
    wire::registration out;
    out.set_runner(in.runner.str());
    out.set_service(in.service.str());
    out.set_address(in.address.str());
    out.set_failure_domain(in.failure_domain.str());
    out.set_fabric_domain(in.fabric_domain.str());
    out.set_slots(static_cast<std::uint32_t>(in.slots));
    out.set_loaded_model(in.loaded_model.str());
    out.set_born(in.born.value);
    return out;
}

formed_group decode(const wire::formed_group& in)
{
    formed_group out;
    out.name = group_id{in.name()};
    out.assignment = epoch{in.epoch()};
    out.service = service_id{in.service()};
    out.model = model_id{in.model()};
    for (const auto& member : in.members()) {
        out.members.emplace_back(member);
    }
    return out;
}

wire::formed_group encode(const formed_group& in)
{
    wire::formed_group out;
    out.set_name(in.name.str());
    out.set_epoch(in.assignment.value);
    out.set_service(in.service.str());
    out.set_model(in.model.str());
    for (const auto& member : in.members) {
        out.add_members(member.str());
    }
    return out;
}

} // namespace

std::optional<std::string> read_document(const wire::accepted_configuration& in)
{
    // Logs of earlier versions contain the text unpacked.
    return in.packed().empty() ? in.text() : unpack(in.packed(), max_document_bytes);
}

std::string fleet_state::document() const
{
    return read_document(configuration_).value_or("");
}

std::string fleet_state::put_configuration(std::uint64_t version, const std::string& document)
{
    wire::fleet_command out;
    out.mutable_configuration()->set_revision(version);
    out.mutable_configuration()->set_packed(pack(document));
    return out.SerializeAsString();
}

std::string fleet_state::depart(const runner_id& runner, bool gone, incarnation its_incarnation)
{
    wire::fleet_command out;
    out.mutable_departure()->set_runner(runner.str());
    out.mutable_departure()->set_gone(gone);
    out.mutable_departure()->set_born(its_incarnation.value);
    return out.SerializeAsString();
}

std::string fleet_state::add_runner(const registered_runner& runner)
{
    wire::fleet_command out;
    *out.mutable_registration() = encode(runner);
    return out.SerializeAsString();
}

std::string fleet_state::remove_runner(const runner_id& runner)
{
    wire::fleet_command out;
    out.mutable_lost()->set_runner(runner.str());
    return out.SerializeAsString();
}

std::string fleet_state::form_group(const formed_group& group)
{
    wire::fleet_command out;
    *out.mutable_formed() = encode(group);
    return out.SerializeAsString();
}

std::string fleet_state::end_group(const group_id& group)
{
    wire::fleet_command out;
    out.mutable_ended()->set_name(group.str());
    return out.SerializeAsString();
}

std::string fleet_state::quarantine(const wire::quarantined_request& request)
{
    wire::fleet_command out;
    *out.mutable_quarantined() = request;
    return out.SerializeAsString();
}

std::string fleet_state::lift_quarantine(const crash_cause& cause)
{
    wire::quarantined_request out;
    encode_cause(cause, out);
    out.set_lifted(true);
    return quarantine(out);
}

std::string fleet_state::apply(const std::string& command)
{
    // An unreadable command was written by a later version; it is ignored.
    wire::fleet_command in;
    if (in.ParseFromString(command)) {
        if (in.has_configuration() &&
            supersedes(in.configuration().revision(), configuration_.revision())) {
            configuration_.Swap(in.mutable_configuration());
        }
        if (in.has_departure()) {
            note_departure(in.departure());
        }
        if (auto runner = decode(in.registration()); in.has_registration() && runner) {
            note_registration(std::move(*runner));
        }
        if (in.has_formed()) {
            note_formed(decode(in.formed()));
        }
        if (in.has_ended()) {
            groups_.erase(group_id{in.ended().name()});
        }
        if (in.has_lost()) {
            registrations_.erase(runner_id{in.lost().runner()});
        }
        if (in.has_quarantined()) {
            note_quarantine(in.quarantined());
        }
    }
    wire::fleet_command_answer out;
    out.set_version(configuration_.revision());
    return out.SerializeAsString();
}

void fleet_state::note_registration(registered_runner in)
{
    // An address belongs to the runner that announced itself there most recently.
    std::erase_if(registrations_,
                  [&](const auto& each) { return each.second.address == in.address; });
    const auto runner = in.runner;
    registrations_[runner] = std::move(in);
}

void fleet_state::note_formed(formed_group in)
{
    for (const auto& member : in.members) {
        if (const auto found = registrations_.find(member); found != registrations_.end()) {
            found->second.loaded_model = in.model;
        }
    }
    const auto name = in.name;
    groups_[name] = std::move(in);
}

void fleet_state::note_departure(const wire::departure& in)
{
    const runner_id runner{in.runner()};
    const auto [found, added] = departures_.try_emplace(runner);
    if (added) {
        departure_order_.push_back(runner);
    }
    auto& known = found->second;
    if (const incarnation its_incarnation{in.born()};
        added || its_incarnation > known.its_incarnation) {
        known = {in.gone(), its_incarnation};
    }
    else if (its_incarnation == known.its_incarnation) {
        known.gone = known.gone || in.gone();
    }
    while (departure_order_.size() > max_departures) {
        departures_.erase(departure_order_.front());
        departure_order_.pop_front();
    }
}

void fleet_state::note_quarantine(const wire::quarantined_request& in)
{
    const auto cause = decode_cause(in);
    if (!cause) {
        return; // invalid cause; no version writes one
    }
    std::erase_if(quarantine_log_, [&](const auto& each) { return decode_cause(each) == cause; });
    quarantine_log_.push_back(in);
    quarantined_.erase(*cause);
    lifted_.erase(*cause);
    (in.lifted() ? lifted_ : quarantined_).insert(*cause);
    while (quarantine_log_.size() > max_quarantined) {
        const auto oldest = decode_cause(quarantine_log_.front());
        quarantined_.erase(*oldest);
        lifted_.erase(*oldest);
        quarantine_log_.pop_front();
    }
}

const wire::quarantined_request* fleet_state::find_quarantined(const crash_cause& cause) const
{
    const auto found =
        std::find_if(quarantine_log_.begin(), quarantine_log_.end(), [&](const auto& each) {
            return decode_cause(each) == cause && !each.lifted();
        });
    return found == quarantine_log_.end() ? nullptr : &*found;
}

const fleet_state::departure* fleet_state::find_departure(const runner_id& runner) const
{
    const auto found = departures_.find(runner);
    if (found == departures_.end()) {
        return nullptr;
    }
    // If the departed incarnation is not known, as in logs of earlier versions, the departure
    // applies to all incarnations.
    const auto left = found->second.its_incarnation;
    const auto registered = registrations_.find(runner);
    const bool has_later_incarnation = left != incarnation{} &&
                                       registered != registrations_.end() &&
                                       registered->second.born > left;
    return has_later_incarnation ? nullptr : &found->second;
}

bool fleet_state::is_leaving(const runner_id& runner) const
{
    return find_departure(runner) != nullptr;
}

bool fleet_state::is_gone(const runner_id& runner) const
{
    const auto* found = find_departure(runner);
    return found != nullptr && found->gone;
}

std::string fleet_state::save() const
{
    wire::fleet_snapshot out;
    *out.mutable_configuration() = configuration_;
    for (const auto& runner : departure_order_) {
        auto* mark = out.add_departures();
        mark->set_runner(runner.str());
        const auto& left = departures_.at(runner);
        mark->set_gone(left.gone);
        mark->set_born(left.its_incarnation.value);
    }
    for (const auto& [runner, registration] : registrations_) {
        *out.add_registrations() = encode(registration);
    }
    for (const auto& [name, group] : groups_) {
        *out.add_groups() = encode(group);
    }
    for (const auto& request : quarantine_log_) {
        *out.add_quarantined() = request;
    }
    return out.SerializeAsString();
}

bool fleet_state::restore(const std::string& bytes)
{
    wire::fleet_snapshot in;
    if (!in.ParseFromString(bytes)) {
        return false;
    }
    configuration_ = in.configuration();
    departures_.clear();
    departure_order_.clear();
    registrations_.clear();
    groups_.clear();
    quarantine_log_.clear();
    quarantined_.clear();
    lifted_.clear();
    for (const auto& each : in.registrations()) {
        if (auto runner = decode(each)) {
            registrations_[runner->runner] = std::move(*runner);
        }
    }
    for (const auto& each : in.groups()) {
        groups_[group_id{each.name()}] = decode(each);
    }
    for (const auto& mark : in.departures()) {
        note_departure(mark);
    }
    for (const auto& request : in.quarantined()) {
        note_quarantine(request);
    }
    return true;
}

} // namespace cedarpoint

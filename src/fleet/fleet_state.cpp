#include "cedarpoint/fleet/fleet_state.h"

#include "cedarpoint/core/packing.h"

namespace cedarpoint {
namespace {

constexpr std::size_t most_document_bytes = 64 << 20;

} // namespace

std::optional<std::string> read_document(const wire::accepted_configuration& in)
{
    // Logs of earlier versions hold the text itself.
    return in.packed().empty() ? in.text() : unpack(in.packed(), most_document_bytes);
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

std::string fleet_state::depart(const runner_id& runner, bool gone)
{
    wire::fleet_command out;
    out.mutable_departure()->set_runner(runner.str());
    out.mutable_departure()->set_gone(gone);
    return out.SerializeAsString();
}

std::string fleet_state::apply(const std::string& command)
{
    wire::fleet_command in;
    if (in.ParseFromString(command)) {
        if (in.has_configuration() && in.configuration().revision() > configuration_.revision()) {
            configuration_.Swap(in.mutable_configuration());
            ++changes_;
        }
        if (in.has_departure()) {
            note_departure(in.departure());
        }
        if (in.has_registration()) {
            note_registration(in.registration());
        }
        if (in.has_formed()) {
            groups_[group_id{in.formed().name()}] = in.formed();
        }
        if (in.has_ended()) {
            groups_.erase(group_id{in.ended().name()});
        }
        if (in.has_lost()) {
            registrations_.erase(runner_id{in.lost().runner()});
        }
    }
    wire::fleet_command_answer out;
    out.set_version(configuration_.revision());
    return out.SerializeAsString();
}

void fleet_state::note_registration(const wire::registration& in)
{
    // An address belongs to the runner that announced itself there last.
    std::erase_if(registrations_,
                  [&](const auto& each) { return each.second.address() == in.address(); });
    registrations_[runner_id{in.runner()}] = in;
}

void fleet_state::note_departure(const wire::departure& in)
{
    const runner_id runner{in.runner()};
    const auto [found, added] = departures_.try_emplace(runner, in.gone());
    if (added) {
        departure_order_.push_back(runner);
    }
    found->second = found->second || in.gone();
    ++changes_;
    while (departure_order_.size() > most_departures) {
        departures_.erase(departure_order_.front());
        departure_order_.pop_front();
    }
}

bool fleet_state::is_leaving(const runner_id& runner) const
{
    return departures_.contains(runner);
}

bool fleet_state::is_gone(const runner_id& runner) const
{
    const auto found = departures_.find(runner);
    return found != departures_.end() && found->second;
}

std::string fleet_state::save() const
{
    wire::fleet_snapshot out;
    *out.mutable_configuration() = configuration_;
    for (const auto& runner : departure_order_) {
        auto* mark = out.add_departures();
        mark->set_runner(runner.str());
        mark->set_gone(departures_.at(runner));
    }
    for (const auto& [runner, registration] : registrations_) {
        *out.add_registrations() = registration;
    }
    for (const auto& [name, group] : groups_) {
        *out.add_groups() = group;
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
    for (const auto& each : in.registrations()) {
        registrations_[runner_id{each.runner()}] = each;
    }
    for (const auto& each : in.groups()) {
        groups_[group_id{each.name()}] = each;
    }
    for (const auto& mark : in.departures()) {
        note_departure(mark);
    }
    ++changes_;
    return true;
}

} // namespace cedarpoint

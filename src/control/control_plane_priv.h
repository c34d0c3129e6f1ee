#pragma once

// Private declarations shared by the source files of control_plane.

#include "cedarpoint/control/control_plane.h"

namespace cedarpoint {

inline constexpr const char* root_log_id = "root";
/// The version of wire::envelope. Messages of any other version are dropped.
inline constexpr std::uint32_t protocol_version = 1;

inline wire::command_answer to_wire(const domain_answer& it)
{
    wire::command_answer out;
    out.set_refused(it.refused);
    out.set_claim_verdict(static_cast<std::uint32_t>(it.verdict));
    return out;
}

inline wire::command_answer to_wire(const change_outcome& it)
{
    wire::command_answer out;
    out.set_change_verdict(static_cast<std::uint32_t>(it.verdict));
    out.set_revision(it.accepted_as.value);
    out.set_conflict_with(it.conflict_with.value);
    out.set_conflict_change(it.conflict_change.str());
    for (const auto& one : it.found) {
        auto* entry = out.add_faults();
        entry->set_path(one.path);
        entry->set_text(one.text);
    }
    return out;
}

inline wire::runner_entry to_wire(const runner_id& id, const runner_report& it)
{
    wire::runner_entry out;
    out.set_runner(id.str());
    out.set_phase(static_cast<std::uint32_t>(it.phase));
    out.set_epoch(it.assignment.value);
    out.set_group(it.group);
    out.set_in_flight(it.in_flight);
    out.set_leaving(it.leaving);
    return out;
}

inline std::optional<runner_report> from_wire(const wire::runner_entry& it)
{
    if (it.phase() > static_cast<std::uint32_t>(runner_phase::ready)) {
        return {};
    }
    return runner_report{static_cast<runner_phase>(it.phase()),
                         {it.epoch()},
                         it.group(),
                         it.in_flight(),
                         it.leaving()};
}

/// The state machine of the failure domain's log.
class control_plane::domain_machine final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        wire::command in;
        if (!in.ParseFromString(command)) {
            return to_wire(domain_answer{"not a command", {}}).SerializeAsString();
        }
        return to_wire(state.apply(in)).SerializeAsString();
    }
    [[nodiscard]] std::string save() const override { return state.save(); }
    bool restore(const std::string& bytes) override { return state.restore(bytes); }

    domain_state state;
};

/// The state machine of the root's log.
class control_plane::root_machine final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        wire::command in;
        if (!in.ParseFromString(command) || !in.has_config()) {
            return to_wire(domain_answer{"the root's log takes configurations only", {}})
                .SerializeAsString();
        }
        return to_wire(state.apply(in.config())).SerializeAsString();
    }
    [[nodiscard]] std::string save() const override { return state.save(); }
    bool restore(const std::string& bytes) override { return state.restore(bytes); }

    root_state state;
};

} // namespace cedarpoint

#include "cedarpoint/state/domain_state.h"

#include "cedarpoint/groups/drain_wire.h"

namespace cedarpoint {

domain_answer domain_state::apply(const wire::command& command)
{
    switch (command.body_case()) {
    case wire::command::kCopy:
        return apply_copy(command.copy());
    case wire::command::kGroup:
        return apply_group(command.group());
    case wire::command::kDrain:
        return apply_drain(command.drain());
    case wire::command::kClaim:
        return apply_claim(command.claim());
    case wire::command::kFinish:
        return apply_finish(command.finish());
    default:
        return {"this log takes no such command", claim_verdict::unavailable};
    }
}

domain_answer domain_state::apply_copy(const wire::accepted_configuration& in)
{
    if (in.revision() <= accepted_.revision()) {
        return {"revision " + std::to_string(accepted_.revision()) + " is in force", {}};
    }
    faults found;
    auto parsed = configuration::parse(in.text(), found);
    if (!parsed) {
        return {"the accepted file can't be read: " + found.front().text, {}};
    }
    accepted_ = in;
    config_ = std::make_shared<const configuration>(std::move(*parsed));
    return {};
}

domain_answer domain_state::apply_group(const wire::group_change& in)
{
    auto record = from_wire(in.group());
    if (!record) {
        return {"the group's state is not known here", {}};
    }
    if (record->state == group_state::loading) {
        return {groups_.assign(std::move(*record), {in.epoch_floor()}), {}};
    }
    return {groups_.advance(record->id, record->assignment, record->state), {}};
}

domain_answer domain_state::apply_drain(const wire::drain_change& in)
{
    if (!mark_drain(drains_, in.kind(), in.id(), in.draining())) {
        return {"can drain a node, a group or a runner, not a \"" + in.kind() + "\"", {}};
    }
    return {};
}

domain_answer domain_state::apply_claim(const wire::claim_begin& in)
{
    const claim_key key{client_account_id{in.account()}, in.key()};
    return {{}, claims_.begin(key, request_id{in.request()}, in.now_ms())};
}

domain_answer domain_state::apply_finish(const wire::claim_finish& in)
{
    if (in.outcome() > static_cast<std::uint32_t>(claim_outcome::not_run)) {
        return {"the outcome is not known here", {}};
    }
    const claim_key key{client_account_id{in.account()}, in.key()};
    claims_.finish(key, request_id{in.request()}, static_cast<claim_outcome>(in.outcome()));
    return {};
}

std::string domain_state::save() const
{
    wire::domain_snapshot out;
    *out.mutable_configuration() = accepted_;
    for (const auto& [id, it] : groups_.records()) {
        *out.add_groups() = to_wire(it);
    }
    out.set_last_epoch(groups_.last_epoch().value);
    for (const auto& [key, it] : claims_.records()) {
        auto* entry = out.add_claims();
        entry->set_account(key.account.str());
        entry->set_key(key.key);
        entry->set_holder(it.holder.str());
        entry->set_outcome(static_cast<std::uint32_t>(it.outcome));
        entry->set_claimed_ms(it.claimed_ms);
    }
    write_drains(drains_, *out.mutable_drains());
    return out.SerializeAsString();
}

bool domain_state::restore(const std::string& bytes)
{
    wire::domain_snapshot in;
    if (!in.ParseFromString(bytes)) {
        return false;
    }
    domain_state next;
    if (in.configuration().revision() > 0 && !next.apply_copy(in.configuration()).refused.empty()) {
        return false;
    }
    std::vector<group_record> groups;
    for (const auto& it : in.groups()) {
        auto record = from_wire(it);
        if (!record) {
            return false;
        }
        groups.push_back(std::move(*record));
    }
    next.groups_.restore(std::move(groups), {in.last_epoch()});
    for (const auto& it : in.claims()) {
        if (it.outcome() > static_cast<std::uint32_t>(claim_outcome::not_run)) {
            return false;
        }
        next.claims_.restore(
            {client_account_id{it.account()}, it.key()},
            {request_id{it.holder()}, static_cast<claim_outcome>(it.outcome()), it.claimed_ms()});
    }
    next.drains_ = read_drains(in.drains());
    *this = std::move(next);
    return true;
}

} // namespace cedarpoint

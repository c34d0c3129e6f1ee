#include "cedarpoint/fleet/runner_registry.h"

namespace cedarpoint {
namespace {

/// Another runner that announces an address may take it over when the owner has been silent for
/// this long. A heartbeat that was delayed by less does not take an address back.
constexpr duration owner_timeout = seconds{4};
/// Before that, a runner that is new to the registry may take it over only with a heartbeat number
/// of at most this. A higher number may belong to a delayed heartbeat of a runner that has ended. A
/// runner whose present incarnation is already in the registry may take it over at once.
constexpr std::uint64_t max_initial_sequence = 3;

} // namespace

void runner_registry::add_assumed(instant now, announcement assumed)
{
    owners_[assumed.address] = assumed.id;
    const auto id = assumed.id;
    records_[id] = {std::move(assumed), now, true, false, false, {}};
}

std::optional<runner_id> runner_registry::find_other_owner(const announcement& in) const
{
    const auto owner = owners_.find(in.address);
    const bool is_other = owner != owners_.end() && owner->second != in.id;
    return is_other ? std::optional{owner->second} : std::nullopt;
}

bool runner_registry::may_own(instant now, const announcement& in, bool begins_incarnation) const
{
    if (!has_other_owner(in)) {
        return true;
    }
    // A heartbeat that was delayed by seconds may come from a runner that ended before the owner
    // started.
    const auto* other = find(owners_.at(in.address));
    const bool is_owner_active = other != nullptr && now - other->last_contact < owner_timeout;
    return !is_owner_active || (begins_incarnation ? in.sequence <= max_initial_sequence : true);
}

bool runner_registry::announce(instant now, const announcement& in)
{
    auto [found, added] = records_.try_emplace(in.id);
    auto& record = found->second;
    const bool begins_incarnation = added || in.born > record.latest.born;
    if (begins_incarnation) {
        latest_arrival_ = now;
        release_address(record, in);
        record = {}; // the record of an earlier incarnation does not apply to this one
    }
    else if (in.number() <= record.latest.number() || record.superseded) {
        return false;
    }
    record.latest = in;
    record.last_contact = now;
    record.assumed = false;
    record.dead = false;
    if (may_own(now, in, begins_incarnation)) {
        auto& owner = owners_[in.address];
        if (const auto other = records_.find(owner); other != records_.end() && owner != in.id) {
            other->second.superseded = true;
        }
        owner = in.id;
    }
    return true;
}

void runner_registry::release_address(const runner_record& earlier, const announcement& in)
{
    const auto owner = owners_.find(earlier.latest.address);
    if (owner != owners_.end() && owner->second == in.id && owner->first != in.address) {
        owners_.erase(owner);
    }
}

void runner_registry::note_alive(instant now, const runner_id& runner)
{
    if (const auto found = records_.find(runner); found != records_.end()) {
        found->second.last_contact = now;
        found->second.answered = now;
    }
}

void runner_registry::note_dead(const runner_id& runner)
{
    if (const auto found = records_.find(runner); found != records_.end()) {
        found->second.dead = true;
    }
}

std::vector<runner_id> runner_registry::remove_silent(instant now, duration keep)
{
    std::vector<runner_id> out;
    std::erase_if(records_, [&](const auto& each) {
        const auto& record = each.second;
        if (now - record.last_contact < keep) {
            return false;
        }
        const auto owner = owners_.find(record.latest.address);
        if (owner != owners_.end() && owner->second == each.first) {
            owners_.erase(owner);
        }
        out.push_back(each.first);
        return true;
    });
    return out;
}

void runner_registry::clear()
{
    records_.clear();
    owners_.clear();
    latest_arrival_.reset();
}

const runner_record* runner_registry::find(const runner_id& runner) const
{
    const auto found = records_.find(runner);
    return found == records_.end() ? nullptr : &found->second;
}

bool runner_registry::owns_address(const runner_record& record) const
{
    const auto owner = owners_.find(record.latest.address);
    return owner != owners_.end() && owner->second == record.latest.id;
}

} // namespace cedarpoint

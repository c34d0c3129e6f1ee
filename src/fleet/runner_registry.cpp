#include "cedarpoint/fleet/runner_registry.h"

namespace cedarpoint {

void runner_registry::expect(instant now, announcement assumed)
{
    owners_[assumed.address] = assumed.id;
    const auto id = assumed.id;
    records_[id] = {std::move(assumed), now, now, true, false};
}

bool runner_registry::announce(instant now, const announcement& in)
{
    auto [found, added] = records_.try_emplace(in.id);
    auto& record = found->second;
    if (!added && in.sequence <= record.latest.sequence) {
        return false;
    }
    if (added) {
        record.first_heard = now;
    }
    record.latest = in;
    record.heard = now;
    record.assumed = false;
    record.dead = false;
    owners_[in.address] = in.id;
    return true;
}

void runner_registry::note_status(instant now, const runner_id& runner, const runner_status& status)
{
    const auto found = records_.find(runner);
    if (found == records_.end()) {
        return;
    }
    auto& record = found->second;
    record.heard = now;
    record.assumed = false;
    record.dead = false;
    record.latest.models = status.models;
    record.latest.staged = status.staged;
    record.latest.membership = status.membership;
}

void runner_registry::note_dead(const runner_id& runner)
{
    if (const auto found = records_.find(runner); found != records_.end()) {
        found->second.dead = true;
    }
}

std::vector<runner_id> runner_registry::forget_silent(instant now, duration keep)
{
    std::vector<runner_id> out;
    std::erase_if(records_, [&](const auto& each) {
        const auto& record = each.second;
        if (now - record.heard < keep) {
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

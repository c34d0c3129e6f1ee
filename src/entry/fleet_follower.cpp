#include "entry/fleet_follower.h"

#include <utility>

namespace cedarpoint {
namespace {

constexpr duration word_interval = milliseconds{200};
constexpr duration first_word_interval = milliseconds{50}; ///< before it knows anything
constexpr duration leader_patience = milliseconds{900};

} // namespace

fleet_follower::fleet_follower(const fleet_settings& own, hooks hooks)
    : hooks_{std::move(hooks)}, failure_domain_{own.failure_domain.str()}
{
    for (const auto& seed : own.seeds) {
        known_.emplace(endpoint{seed.ip, own.address.port}.str());
    }
}

bool fleet_follower::has_leader(instant now) const
{
    return !leader_.empty() && now - heard_ < leader_patience;
}

void fleet_follower::tick(instant now)
{
    if (now < next_word_) {
        return;
    }
    next_word_ = now + (view_.version() == 0 ? first_word_interval : word_interval);
    if (has_leader(now)) {
        speak(leader_);
        return;
    }
    if (!leader_.empty()) {
        hooks_.on_leader(leader_, false);
        leader_ = {};
    }
    for (const auto& each : known_) {
        speak(each);
    }
}

void fleet_follower::speak(const daemon_id& to)
{
    wire::envelope out;
    auto& follow = *out.mutable_follow();
    follow.set_term(view_.term());
    follow.set_version(view_.version());
    follow.set_failure_domain(failure_domain_);
    follow.set_behind(behind_);
    hooks_.fill(follow);
    hooks_.send(to, std::move(out));
}

void fleet_follower::receive(instant now, const wire::envelope& in)
{
    if (!in.has_update()) {
        return;
    }
    const auto& update = in.update();
    for (const auto& voter : update.voters()) {
        known_.emplace(voter);
    }
    if (!update.leading()) {
        if (!update.leader().empty()) {
            known_.emplace(update.leader());
        }
        take_provisional(update);
        return;
    }
    const auto outcome = view_.take(update);
    if (outcome == view_copy::outcome::stale) {
        return;
    }
    const daemon_id from{in.from()};
    if (leader_ != from) {
        leader_ = from;
        hooks_.on_leader(leader_, true);
    }
    heard_ = now;
    if (update.followers() > 0) {
        followers_ = update.followers();
    }
    hooks_.on_update(update);
    if (outcome == view_copy::outcome::gap) {
        if (!std::exchange(behind_, true)) {
            hurry();
        }
        return;
    }
    behind_ = false;
    hooks_.on_view(outcome);
}

void fleet_follower::take_provisional(const wire::fleet_update& update)
{
    // Better than none: what a leader has told goes before it, whatever its age.
    if (!update.provisional() || view_.term() > 0) {
        return;
    }
    if (const auto outcome = view_.take(update); outcome == view_copy::outcome::applied) {
        hooks_.on_view(outcome);
    }
}

} // namespace cedarpoint

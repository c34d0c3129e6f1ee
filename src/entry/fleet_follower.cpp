#include "entry/fleet_follower.h"

#include "cedarpoint/fleet/fleet_messages.h"
#include "cedarpoint/quarantine/crash_messages.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

constexpr duration report_interval = milliseconds{200};
/// Time between two reports while this daemon has no view.
constexpr duration first_report_interval = milliseconds{50};
/// After this time without an answer from the leader, about four reports, reports go to all control
/// daemons to find a leader.
constexpr duration leader_timeout = milliseconds{900};
/// Time between two calls of `on_leader_missing`.
constexpr duration missing_leader_interval = seconds{1};

} // namespace

fleet_follower::fleet_follower(const fleet_settings& daemon_settings, hooks hooks)
    : hooks_{std::move(hooks)},
      failure_domain_{daemon_settings.failure_domain.str()}, seeds_{seed_daemons(daemon_settings)}
{
}

bool fleet_follower::has_leader(instant now) const
{
    return !leader_.empty() && now - leader_active_at_ < leader_timeout;
}

void fleet_follower::tick(instant now)
{
    if (now < next_report_) {
        return;
    }
    next_report_ = now + (view_.version() == 0 ? first_report_interval : report_interval);
    if (has_leader(now)) {
        leaderless_since_.reset();
        report_to(now, leader_);
        return;
    }
    if (!leader_.empty()) {
        hooks_.on_leader(leader_, false);
        leader_ = {};
    }
    check_missing_leader(now);
    for (const auto& each : known_control_daemons()) {
        report_to(now, each);
    }
}

void fleet_follower::check_missing_leader(instant now)
{
    if (!leaderless_since_) {
        leaderless_since_ = now;
        next_missing_check_ = now + missing_leader_interval;
    }
    if (now >= next_missing_check_) {
        next_missing_check_ = now + missing_leader_interval;
        read_seeds();
        hooks_.on_leader_missing(now - *leaderless_since_, known_control_daemons());
    }
}

void fleet_follower::read_seeds()
{
    // While this daemon was out of contact, all control daemons that it knew may have been
    // replaced.
    if (auto present = hooks_.read_seeds(); !present.empty()) {
        seeds_ = std::move(present);
    }
}

std::set<daemon_id> fleet_follower::known_control_daemons() const
{
    auto out = members_;
    out.insert(seeds_.begin(), seeds_.end());
    return out;
}

void fleet_follower::report_to(instant now, const daemon_id& to)
{
    wire::envelope out;
    auto& follow = *out.mutable_follow();
    follow.set_term(view_.term());
    follow.set_version(needs_whole_view_ ? 0 : view_.version());
    follow.set_failure_domain(failure_domain_);
    follow.set_behind(behind_ || needs_whole_view_);
    follow.set_stamp_us(now.time_since_epoch().count());
    const auto report = hooks_.make_report();
    encode(report, follow);
    encode_crashes(now, report.crashes, *follow.mutable_suspected());
    encode_crashes(now, report.cuts, *follow.mutable_cuts());
    hooks_.send(to, std::move(out));
}

void fleet_follower::receive(instant now, const wire::envelope& in)
{
    if (!in.has_update()) {
        return;
    }
    const auto& update = in.update();
    note_members(update);
    if (update.leading()) {
        apply_from_leader(now, daemon_id{in.from()}, update);
    }
}

void fleet_follower::note_members(const wire::fleet_update& update)
{
    if (update.leading() && update.voters_size() > 0) {
        members_.clear(); // the leader's list is the present one
    }
    for (const auto& voter : update.voters()) {
        members_.emplace(voter);
    }
    if (!update.leading() && !update.leader().empty()) {
        members_.emplace(update.leader());
    }
}

void fleet_follower::apply_from_leader(instant now, const daemon_id& from,
                                       const wire::fleet_update& update)
{
    const auto outcome = view_.take(update);
    if (outcome == view_copy::outcome::stale) {
        return; // from a leader of an earlier term, or older than an update already applied
    }
    if (leader_ != from) {
        leader_ = from;
        hooks_.on_leader(leader_, true);
    }
    // An update may have been queued while this machine was suspended. If it answers a report, its
    // stamp is the time of that report, and the leader is only known to have been active then.
    const instant asked_at{duration{update.stamp_us()}};
    leader_active_at_ =
        std::max(leader_active_at_, update.stamp_us() == 0 || asked_at > now ? now : asked_at);
    if (update.followers() > 0) {
        followers_ = update.followers();
    }
    hooks_.on_update(update);
    if (outcome == view_copy::outcome::gap) {
        if (!std::exchange(behind_, true)) {
            report_soon();
        }
        return;
    }
    behind_ = false;
    needs_whole_view_ = false;
    hooks_.on_view(outcome);
}

} // namespace cedarpoint

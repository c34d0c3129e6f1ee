#include "cedarpoint/runner_signals/send_holds.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Upper bound for the time until the view contains a new incarnation. A pause that was asked for
/// within this time before may have been asked for by the new incarnation.
constexpr duration view_delay = seconds{1};

/// A leaving runner that has been absent from the view for this long is taken to have ended.
constexpr duration leave_retention = seconds{60};

} // namespace

send_holds::hold& send_holds::hold_of(instant now, const runner_id& runner,
                                      incarnation its_incarnation)
{
    const auto seen = incarnations_.find(runner);
    const auto latest =
        seen == incarnations_.end() ? its_incarnation : std::max(its_incarnation, seen->second);
    auto& out = holds_.try_emplace(runner, hold{latest, {}, {}, false, {}}).first->second;
    if (latest > out.its_incarnation) {
        reset_for_new_incarnation(now, latest, out);
    }
    if (out.absent_since) {
        out.absent_since = now; // the runner answers, so it has not ended
    }
    return out;
}

void send_holds::on_pause(instant now, const runner_id& runner, incarnation its_incarnation,
                          duration time)
{
    std::erase_if(holds_, [now](const auto& each) { return is_expired(now, each.second); });
    auto& own = hold_of(now, runner, its_incarnation);
    own.paused_at = now;
    own.paused_until = std::max(own.paused_until, now + time);
}

bool send_holds::on_leaving(instant now, const runner_id& runner, incarnation its_incarnation)
{
    auto& own = hold_of(now, runner, its_incarnation);
    if (its_incarnation < own.its_incarnation) {
        return false; // the answer is from an earlier incarnation
    }
    return !std::exchange(own.leaving, true);
}

void send_holds::reset_for_new_incarnation(instant now, incarnation its_incarnation, hold& of)
{
    of.its_incarnation = its_incarnation;
    // A leaving runner signals this in every answer, so one request is enough to detect it again.
    of.leaving = false;
    if (now - of.paused_at > view_delay) {
        of.paused_until = {};
    }
}

void send_holds::on_incarnation(instant now, const runner_id& runner, incarnation its_incarnation)
{
    const auto found = holds_.find(runner);
    if (found != holds_.end() && its_incarnation > found->second.its_incarnation) {
        reset_for_new_incarnation(now, its_incarnation, found->second);
    }
}

void send_holds::on_incarnations(instant now, std::map<runner_id, incarnation> incarnations)
{
    incarnations_ = std::move(incarnations);
    for (auto& [runner, own] : holds_) {
        const auto found = incarnations_.find(runner);
        if (found == incarnations_.end()) {
            own.absent_since = own.absent_since.value_or(now);
            continue;
        }
        own.absent_since.reset();
        on_incarnation(now, runner, found->second);
    }
    std::erase_if(holds_, [now](const auto& each) { return is_expired(now, each.second); });
}

bool send_holds::is_expired(instant now, const hold& in)
{
    const bool has_ended = in.absent_since && now - *in.absent_since > leave_retention;
    return now >= in.paused_until && (!in.leaving || has_ended);
}

void send_holds::clear_leave(const runner_id& runner)
{
    if (const auto found = holds_.find(runner); found != holds_.end()) {
        found->second.leaving = false;
    }
}

send_hold send_holds::find(instant now, const runner_id& runner) const
{
    const auto found = holds_.find(runner);
    if (found == holds_.end()) {
        return send_hold::none;
    }
    if (found->second.leaving) {
        return send_hold::leaving;
    }
    return now < found->second.paused_until ? send_hold::paused : send_hold::none;
}

std::optional<instant> send_holds::paused_until(instant now, const runner_id& runner) const
{
    const auto found = holds_.find(runner);
    if (found == holds_.end() || now >= found->second.paused_until) {
        return {};
    }
    return found->second.paused_until;
}

std::map<runner_id, incarnation> send_holds::leaving() const
{
    std::map<runner_id, incarnation> out;
    for (const auto& [runner, own] : holds_) {
        if (own.leaving) {
            out[runner] = own.its_incarnation;
        }
    }
    return out;
}

std::size_t send_holds::count_leaving() const
{
    return static_cast<std::size_t>(std::count_if(
        holds_.begin(), holds_.end(), [](const auto& each) { return each.second.leaving; }));
}

std::size_t send_holds::count_paused(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(holds_.begin(), holds_.end(),
                      [now](const auto& each) { return now < each.second.paused_until; }));
}

} // namespace cedarpoint

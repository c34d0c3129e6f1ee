#include "cedarpoint/quarantine/runner_incarnations.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cedarpoint {
namespace {

/// Incarnations kept for each runner: enough for a runner that restarts several times a second
/// while a cut waits for its proof.
constexpr std::size_t max_incarnations = 32;

/// A heartbeat that arrives within this time after a cut may have been sent before the runner
/// ended.
constexpr duration heartbeat_transit = milliseconds{50};

/// Largest error of the time of a connection that another daemon reports.
constexpr duration clock_error = milliseconds{20};

/// If the next incarnation is seen later than this after a cut, the runner may have ended at any
/// time in between, so the cut is not proved to be a crash.
constexpr duration max_restart_time = seconds{10};

bool is_prompt_restart(instant at, instant next_seen)
{
    return next_seen > at && next_seen - at <= max_restart_time;
}

} // namespace

bool runner_incarnations::on_heartbeat(instant now, const runner_id& runner,
                                       incarnation its_incarnation)
{
    auto& own = runners_[runner];
    own.replaced_at.reset();
    if (!own.incarnations.empty() && own.incarnations.back().its_incarnation >= its_incarnation) {
        own.incarnations.back().last_heartbeat_at = now;
        return false;
    }
    own.incarnations.push_back({its_incarnation, now, now});
    if (own.incarnations.size() > max_incarnations) {
        own.incarnations.pop_front();
    }
    return true;
}

void runner_incarnations::expect(const runner_id& runner, incarnation its_incarnation)
{
    runners_[runner] = {{{its_incarnation, instant{}, instant{}}}, {}};
}

void runner_incarnations::on_replaced(instant now, const runner_id& runner)
{
    if (const auto found = runners_.find(runner);
        found != runners_.end() && !found->second.replaced_at) {
        found->second.replaced_at = now;
    }
}

runner_incarnations::incarnation_iterator runner_incarnations::find_incarnation(const history& in,
                                                                                instant at)
{
    const auto next = std::find_if(in.incarnations.begin(), in.incarnations.end(),
                                   [&](const auto& each) { return each.first_heartbeat_at > at; });
    return next == in.incarnations.begin() ? in.incarnations.end() : std::prev(next);
}

std::optional<incarnation> runner_incarnations::incarnation_at(const runner_id& runner,
                                                               instant at) const
{
    const auto found = runners_.find(runner);
    if (found == runners_.end()) {
        return {};
    }
    const auto own = find_incarnation(found->second, at);
    return own == found->second.incarnations.end() ? std::nullopt
                                                   : std::optional{own->its_incarnation};
}

std::optional<incarnation> runner_incarnations::incarnation_ended_by(const runner_id& runner,
                                                                     instant connected_at,
                                                                     instant at) const
{
    const auto found = runners_.find(runner);
    if (found == runners_.end()) {
        return {};
    }
    const auto& [incarnations, replaced_at] = found->second;
    const auto own = find_incarnation(found->second, at);
    if (own == incarnations.end() || own->last_heartbeat_at > at + heartbeat_transit ||
        own->last_heartbeat_at < connected_at + clock_error) {
        return {};
    }
    const auto next = std::next(own);
    const bool has_ended = next == incarnations.end()
                               ? replaced_at && is_prompt_restart(at, *replaced_at)
                               : is_prompt_restart(at, next->first_heartbeat_at);
    return has_ended ? std::optional{own->its_incarnation} : std::nullopt;
}

} // namespace cedarpoint

#include "cedarpoint/quarantine/runner_lives.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace cedarpoint {
namespace {

/// Lives kept for each runner: enough for a runner that restarts several times a second while a cut
/// waits for its proof.
constexpr std::size_t max_lives = 32;

/// A heartbeat that arrives within this time after a cut may have been sent before the runner
/// ended.
constexpr duration heartbeat_transit = milliseconds{50};

/// If the next life is seen later than this after a cut, the runner may have ended at any time in
/// between, so the cut is not proved to be a crash.
constexpr duration max_restart_time = seconds{10};

bool is_prompt_restart(instant at, instant next_seen)
{
    return next_seen > at && next_seen - at <= max_restart_time;
}

} // namespace

bool runner_lives::on_heard(instant now, const runner_id& runner, birth life)
{
    auto& own = runners_[runner];
    own.replaced_at.reset();
    if (!own.lives.empty() && own.lives.back().life >= life) {
        own.lives.back().last_heartbeat_at = now;
        return false;
    }
    own.lives.push_back({life, now, now});
    if (own.lives.size() > max_lives) {
        own.lives.pop_front();
    }
    return true;
}

void runner_lives::expect(const runner_id& runner, birth life)
{
    runners_[runner] = {{{life, instant{}, instant{}}}, {}};
}

void runner_lives::on_replaced(instant now, const runner_id& runner)
{
    if (const auto found = runners_.find(runner);
        found != runners_.end() && !found->second.replaced_at) {
        found->second.replaced_at = now;
    }
}

runner_lives::life_iterator runner_lives::find_life(const history& in, instant at)
{
    const auto next = std::find_if(in.lives.begin(), in.lives.end(),
                                   [&](const auto& each) { return each.first_heartbeat_at > at; });
    return next == in.lives.begin() ? in.lives.end() : std::prev(next);
}

std::optional<birth> runner_lives::life_at(const runner_id& runner, instant at) const
{
    const auto found = runners_.find(runner);
    if (found == runners_.end()) {
        return {};
    }
    const auto own = find_life(found->second, at);
    return own == found->second.lives.end() ? std::nullopt : std::optional{own->life};
}

std::optional<birth> runner_lives::life_ended_by(const runner_id& runner, instant at) const
{
    const auto found = runners_.find(runner);
    if (found == runners_.end()) {
        return {};
    }
    const auto& [lives, replaced_at] = found->second;
    const auto own = find_life(found->second, at);
    if (own == lives.end() || own->last_heartbeat_at > at + heartbeat_transit) {
        return {};
    }
    const auto next = std::next(own);
    const bool has_ended = next == lives.end() ? replaced_at && is_prompt_restart(at, *replaced_at)
                                               : is_prompt_restart(at, next->first_heartbeat_at);
    return has_ended ? std::optional{own->life} : std::nullopt;
}

} // namespace cedarpoint

#include "cedarpoint/quarantine/unproved_cuts.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cedarpoint {
namespace {

/// Enough for the requests of all entry daemons in flight at a few runners, and the parts of their
/// prompts.
constexpr std::size_t max_cuts = 2048;

/// Longer than a runner takes to restart and send a heartbeat; see `runner_incarnations`.
constexpr duration max_cut_age = seconds{12};

} // namespace

void unproved_cuts::add(instant now, const crash_histories& in)
{
    drop_old(now);
    for (const auto& [cause, history] : in) {
        for (const auto& each : history.crashes) {
            const bool is_due = now - each.ended_at <= max_cut_age && cuts_.size() < max_cuts;
            if (is_due && !holds(cause, each)) {
                cuts_.push_back({cause, each});
            }
        }
    }
}

bool unproved_cuts::holds(const crash_cause& cause, const crash_observation& observation) const
{
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const auto& each) {
        return each.cause == cause && is_same_observation(each.observation, observation);
    });
}

void unproved_cuts::on_answer(instant at, const crash_cause& cause)
{
    std::erase_if(cuts_, [&](const auto& each) {
        return each.cause == cause && each.observation.ended_at <= at;
    });
}

crash_histories unproved_cuts::take_proved(instant now, const runner_incarnations& incarnations)
{
    drop_old(now);
    crash_histories out;
    std::vector<cut> waiting;
    for (auto& each : cuts_) {
        // Without the time of the connection there is no proof.
        const auto connected_at = each.observation.connected_at.value_or(each.observation.ended_at);
        const auto its_incarnation = incarnations.incarnation_ended_by(
            each.observation.runner, connected_at, each.observation.ended_at);
        if (!its_incarnation) {
            waiting.push_back(std::move(each));
            continue;
        }
        each.observation.its_incarnation = *its_incarnation;
        each.observation.is_proved_by_incarnation = true;
        out[each.cause].crashes.push_back(std::move(each.observation));
    }
    cuts_ = std::move(waiting);
    return out;
}

void unproved_cuts::drop_old(instant now)
{
    std::erase_if(cuts_,
                  [&](const auto& each) { return now - each.observation.ended_at > max_cut_age; });
}

} // namespace cedarpoint

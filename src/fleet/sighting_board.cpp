#include "cedarpoint/fleet/sighting_board.h"

#include <algorithm>
#include <cmath>

namespace cedarpoint {
namespace {

constexpr duration fresh = milliseconds{900};         ///< words older than this say nothing
constexpr duration follower_age = milliseconds{2500}; ///< a follower is counted for this long
constexpr std::uint32_t still_ms = 300;               ///< without a byte: it stands still
constexpr double fade_seconds = 1;
constexpr std::uint32_t few_failures = 2; ///< connections that were not made

} // namespace

void sighting_board::put(instant now, const std::string& follower, const wire::fleet_follow& in)
{
    auto& entry = words_[follower];
    entry.at = now;
    entry.failure_domain = in.failure_domain();
    entry.sightings.clear();
    entry.checks.clear();
    for (const auto& each : in.sightings()) {
        const runner_id runner{each.runner()};
        paces_.note(now, runner, each.waits(),
                    duration{static_cast<duration::rep>(each.waited_us())});
        entry.sightings[runner] = each;
    }
    for (const auto& each : in.checks()) {
        entry.checks[runner_id{each.runner()}] = {now - milliseconds{each.age_ms()},
                                                  each.reachable()};
    }
    for (const auto& each : in.demand()) {
        started_ += each.started() + each.refused();
        auto& refused = refused_[model_id{each.model()}];
        refused.value = faded(refused, now) + each.refused();
        refused.at = now;
    }
}

void sighting_board::clear()
{
    words_.clear();
    paces_.clear();
}

double sighting_board::faded(const fading_count& in, instant now)
{
    const auto age = std::chrono::duration<double>(now - in.at).count();
    return in.value * std::exp(-age / fade_seconds);
}

double sighting_board::refused_rate(instant now, const model_id& model) const
{
    const auto found = refused_.find(model);
    return found == refused_.end() ? 0 : faded(found->second, now) / fade_seconds;
}

runner_outlook sighting_board::look(instant now, const runner_id& runner) const
{
    runner_outlook out;
    for (const auto& [follower, entry] : words_) {
        const auto found = entry.sightings.find(runner);
        if (found == entry.sightings.end() || now - entry.at > fresh) {
            continue;
        }
        const auto& seen = found->second;
        out.in_flight += static_cast<int>(seen.in_flight());
        out.refused = out.refused || seen.refused();
        out.byte_age = std::min<duration>(out.byte_age, milliseconds{seen.byte_ms()});
        const bool waits = seen.in_flight() > 0 && seen.silent_ms() >= still_ms;
        if (waits || seen.unreachable() >= few_failures) {
            out.witnesses.insert(entry.failure_domain);
        }
        out.progresses = out.progresses || seen.byte_ms() < still_ms;
    }
    out.stands_still = !out.progresses && !out.witnesses.empty();
    return out;
}

bool sighting_board::is_unreachable_to_all(instant now, instant since,
                                           const runner_id& runner) const
{
    std::size_t witnesses = 0;
    for (const auto& [follower, entry] : words_) {
        if (now - entry.at > fresh) {
            continue;
        }
        const auto check = entry.checks.find(runner);
        if (check == entry.checks.end() || check->second.first < since || check->second.second) {
            return false;
        }
        ++witnesses;
    }
    return witnesses > 0;
}

std::map<runner_id, int> sighting_board::loads_without(instant now, const std::string& asker) const
{
    std::map<runner_id, int> out;
    for (const auto& [follower, entry] : words_) {
        if (follower == asker || now - entry.at > fresh) {
            continue;
        }
        for (const auto& [runner, seen] : entry.sightings) {
            out[runner] += static_cast<int>(seen.in_flight());
        }
    }
    return out;
}

std::size_t sighting_board::followers(instant now) const
{
    std::size_t out = 0;
    for (const auto& [follower, entry] : words_) {
        out += now - entry.at <= follower_age ? 1 : 0;
    }
    return out;
}

} // namespace cedarpoint

#include "cedarpoint/fleet/observation_totals.h"

namespace cedarpoint {
namespace {

/// A runner with requests in flight counts as stalled after this time without a byte. This is the
/// longest gap between events that the users' routes aim at. A shorter threshold moves streams
/// sooner, which loses requests.
constexpr milliseconds stall_threshold{300};

/// Consecutive failed connection attempts after which an entry daemon without waiting requests
/// counts as seeing a stall. A single failure may be a lost packet.
constexpr std::uint32_t failed_connects_to_stall = 2;

bool has_recent_byte(const runner_observation& in)
{
    return in.since_byte < stall_threshold;
}

bool sees_stall(const runner_observation& in)
{
    const bool waits = in.in_flight > 0 && in.silence >= stall_threshold;
    return waits || in.failed_connects >= failed_connects_to_stall;
}

void add_counts(runner_totals& totals, const runner_observation& seen, bool cut_off, int sign)
{
    totals.in_flight += sign * seen.in_flight;
    totals.refused += seen.refused ? sign : 0;
    totals.progressing += has_recent_byte(seen) ? sign : 0;
    (cut_off ? totals.stalled_cut_off : totals.stalled) += sees_stall(seen) ? sign : 0;
}

} // namespace

void observation_totals::add(const observations& report, bool cut_off)
{
    reports_not_cut_off_ += cut_off ? 0 : 1;
    for (const auto& [runner, seen] : report) {
        auto& totals = runners_[runner];
        totals.since_byte.insert(seen.since_byte);
        add_counts(totals, seen, cut_off, 1);
    }
}

void observation_totals::remove(const observations& report, bool cut_off)
{
    reports_not_cut_off_ -= cut_off ? 0 : 1;
    for (const auto& [runner, seen] : report) {
        const auto found = runners_.find(runner);
        auto& totals = found->second;
        totals.since_byte.extract(seen.since_byte);
        add_counts(totals, seen, cut_off, -1);
        if (totals.since_byte.empty()) {
            runners_.erase(found);
        }
    }
}

void observation_totals::clear()
{
    runners_.clear();
    reports_not_cut_off_ = 0;
}

const runner_totals* observation_totals::find(const runner_id& runner) const
{
    const auto found = runners_.find(runner);
    return found == runners_.end() ? nullptr : &found->second;
}

std::map<runner_id, int> observation_totals::loads_without(const observations& excluded) const
{
    std::map<runner_id, int> out;
    auto own = excluded.begin(); // both are sorted by runner, and each runner in it has totals
    for (const auto& [runner, totals] : runners_) {
        const bool is_own = own != excluded.end() && own->first == runner;
        const auto own_load = is_own ? own->second.in_flight : 0;
        if (totals.since_byte.size() > (is_own ? 1U : 0U)) {
            out.emplace_hint(out.end(), runner, totals.in_flight - own_load);
        }
        if (is_own) {
            ++own;
        }
    }
    return out;
}

} // namespace cedarpoint

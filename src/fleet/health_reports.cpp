#include "cedarpoint/fleet/health_reports.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// A report is valid for this long. Reports are sent every 200 ms, so three may be lost.
constexpr duration report_lifetime = milliseconds{900};

/// An entry daemon counts among those that share the fleet's limits for this long after its latest
/// report. After the same time the leader stops sending updates to it (`follower_tracker`).
constexpr duration follower_lifetime = milliseconds{2500};

} // namespace

bool health_reports::is_current(instant now, const entry& in)
{
    return now - in.at <= report_lifetime;
}

void health_reports::put(instant now, const daemon_id& follower, const health_report& in)
{
    expire(now);
    auto& own = entries_[follower];
    remove_from_totals(follower, own);
    own.at = now;
    own.runners = in.runners;
    own.cut_off = in.cut_off;
    totals_.add(own.runners, own.cut_off);
    counted_.emplace(now, follower);
    own.as_peer = in.as_peer;
    own.checks.clear();
    for (const auto& [runner, check] : in.checks) {
        own.checks[runner] = {now - check.age, check.reachable};
    }
    for (const auto& [runner, seen] : in.runners) {
        latencies_.record(now, runner, seen.waits, seen.waited);
        auto& latest = latest_bytes_[runner];
        latest = std::max<instant>(latest, now - seen.since_byte);
    }
    for (const auto& [model, demand] : in.demand) {
        requests_seen_ += demand.started + demand.rejected;
        rejected_[model].add(now, demand.rejected);
    }
}

void health_reports::remove_from_totals(const daemon_id& follower, const entry& in) const
{
    if (counted_.erase({in.at, follower}) > 0) {
        totals_.remove(in.runners, in.cut_off);
    }
}

void health_reports::expire(instant now) const
{
    while (!counted_.empty() && now - counted_.begin()->first > report_lifetime) {
        const auto follower = counted_.begin()->second;
        remove_from_totals(follower, entries_.at(follower));
    }
}

void health_reports::clear()
{
    entries_.clear();
    totals_.clear();
    counted_.clear();
    latest_bytes_.clear();
    latencies_.clear();
}

double health_reports::rejection_rate(instant now, const model_id& model) const
{
    const auto found = rejected_.find(model);
    return found == rejected_.end() ? 0 : found->second.value(now);
}

bool health_reports::is_witness(instant now, const entry& in) const
{
    expire(now);
    return !in.cut_off || !totals_.has_witness();
}

std::vector<entry_peer> health_reports::entry_daemons(instant now) const
{
    std::vector<entry_peer> out;
    for (const auto& [follower, own] : entries_) {
        if (own.as_peer && now - own.at <= follower_lifetime) {
            out.push_back(*own.as_peer);
        }
    }
    return out;
}

runner_health health_reports::health_of(instant now, const runner_id& runner) const
{
    expire(now);
    const auto* totals = totals_.find(runner);
    if (totals == nullptr) {
        return {};
    }
    const bool stall_seen =
        totals->stalled > 0 || (totals->stalled_cut_off > 0 && !totals_.has_witness());
    return {totals->in_flight, stall_seen && totals->progressing == 0, totals->refused > 0,
            *totals->since_byte.begin()};
}

instant health_reports::latest_byte(const runner_id& runner) const
{
    const auto found = latest_bytes_.find(runner);
    return found == latest_bytes_.end() ? instant{} : found->second;
}

bool health_reports::is_unreachable_from_all(instant now, instant since,
                                             const runner_id& runner) const
{
    bool tried = false;
    for (const auto& [follower, own] : entries_) {
        if (!is_current(now, own) || !is_witness(now, own)) {
            continue;
        }
        const auto check = own.checks.find(runner);
        const bool failed =
            check != own.checks.end() && check->second.begun >= since && !check->second.reachable;
        if (!failed) {
            return false;
        }
        tried = true;
    }
    return tried;
}

std::map<runner_id, int> health_reports::loads_excluding(instant now,
                                                         const daemon_id& excluded) const
{
    expire(now);
    const auto found = entries_.find(excluded);
    const bool counted = found != entries_.end() && counted_.contains({found->second.at, excluded});
    static const observation_totals::observations none;
    const auto& own = counted ? found->second.runners : none;
    return totals_.loads_without(own);
}

std::size_t health_reports::count_followers(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [&](const auto& each) { return now - each.second.at <= follower_lifetime; }));
}

} // namespace cedarpoint

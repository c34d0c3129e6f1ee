#include "cedarpoint/fleet/health_reports.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// A report is valid for this long. Reports are sent every 200 ms, so three may be lost.
constexpr duration report_lifetime = milliseconds{900};

/// An entry daemon counts among those that share the fleet's limits for this long after its latest
/// report. After the same time the leader stops sending updates to it (`follower_tracker`).
constexpr duration follower_lifetime = milliseconds{2500};

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

} // namespace

bool health_reports::is_current(instant now, const entry& in)
{
    return now - in.at <= report_lifetime;
}

void health_reports::put(instant now, const daemon_id& follower, const health_report& in)
{
    auto& own = entries_[follower];
    own.at = now;
    own.runners = in.runners;
    own.cut_off = in.cut_off;
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

void health_reports::clear()
{
    entries_.clear();
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
    return !in.cut_off || std::none_of(entries_.begin(), entries_.end(), [&](const auto& each) {
        return is_current(now, each.second) && !each.second.cut_off;
    });
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
    runner_health out;
    bool progressing = false;
    bool stall_seen = false;
    for (const auto& [follower, own] : entries_) {
        const auto found = own.runners.find(runner);
        if (found == own.runners.end() || !is_current(now, own)) {
            continue;
        }
        const auto& seen = found->second;
        out.in_flight += seen.in_flight;
        out.refused = out.refused || seen.refused;
        out.since_byte = std::min<duration>(out.since_byte, seen.since_byte);
        progressing = progressing || has_recent_byte(seen);
        stall_seen = stall_seen || (sees_stall(seen) && is_witness(now, own));
    }
    out.stalled = stall_seen && !progressing;
    return out;
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
    std::map<runner_id, int> out;
    for (const auto& [follower, own] : entries_) {
        if (follower == excluded || !is_current(now, own)) {
            continue;
        }
        for (const auto& [runner, seen] : own.runners) {
            out[runner] += seen.in_flight;
        }
    }
    return out;
}

std::size_t health_reports::count_followers(instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [&](const auto& each) { return now - each.second.at <= follower_lifetime; }));
}

} // namespace cedarpoint

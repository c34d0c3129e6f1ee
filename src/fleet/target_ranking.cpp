#include "cedarpoint/fleet/target_ranking.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Requests that may queue at a target beyond its slots: a slot usually becomes free soon.
constexpr int queue_allowance = 3;

/// Cost of a target in another failure domain, in requests.
constexpr double other_domain_cost = 0.5;

/// Cost of an avoided target, in requests. Far above usual load costs, so that an avoided target is
/// normally chosen only if there is no other. A load cost can still exceed it: 16 requests at a
/// slowness of 64 cost 1024.
constexpr double avoided_cost = 1000;

/// Upper bound of the random part of the cost, in requests.
constexpr double draw_width = 0.5;

/// A target with requests in flight is avoided after more than this time without a byte. Shorter
/// than the leader's threshold (300 ms), because the only effect is the choice of another target.
constexpr duration stall_threshold = milliseconds{250};

/// Backoff after the first failure; it doubles with each further one, up to 4.8 s.
constexpr duration initial_backoff = milliseconds{300};
constexpr int max_doublings = 4;

} // namespace

bool is_full(const fleet_target& target, const target_stats& stats)
{
    return stats.in_flight + stats.in_flight_elsewhere >= target.slots + queue_allowance;
}

double load_cost(const fleet_target& target, const target_stats& stats)
{
    return (stats.in_flight + 1) * target.slowness;
}

double distance_cost(const fleet_target& target, const failure_domain_id& own_domain)
{
    return target.failure_domain == own_domain ? 0 : other_domain_cost;
}

double avoidance_cost(instant now, const fleet_target& target, const target_stats& stats)
{
    const bool backs_off = now < stats.backoff_until;
    const bool stalls = stats.in_flight > 0 && now - stats.waiting_since > stall_threshold;
    return backs_off || stalls || target.suspected ? avoided_cost : 0;
}

double path_cost(bool is_failing)
{
    return is_failing ? avoided_cost : 0;
}

double target_cost(instant now, const fleet_target& target, const target_stats& stats,
                   const failure_domain_id& own_domain, double draw)
{
    return load_cost(target, stats) + distance_cost(target, own_domain) +
           avoidance_cost(now, target, stats) + draw * draw_width;
}

duration backoff_after(int failures)
{
    return initial_backoff * (1 << std::min(failures - 1, max_doublings));
}

} // namespace cedarpoint

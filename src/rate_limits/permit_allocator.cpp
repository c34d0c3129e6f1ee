#include "cedarpoint/rate_limits/permit_allocator.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cedarpoint {
namespace {

/// A daemon that has not reported for this long gets no permits. Permits issued to it that were not
/// sent yet are dropped.
constexpr duration share_lifetime = milliseconds{900};

/// The budget of permits holds at most what accrues at the allowed rate in this time, but no less
/// than the minimum below.
constexpr double kept_seconds = 0.4;
constexpr double least_kept = 2;

/// Upper bound for the time from issuing a permit to its use: it is sent in the answer to the
/// daemon's next report, and is valid for less than a second from then on.
constexpr duration open_time = milliseconds{1200};
/// Permits that may be open in addition to those that accrue at the rate in `open_time`. If each
/// daemon has few requests, several daemons must hold a permit for one of them to use it.
constexpr double open_beside = 2.5;

/// A daemon with a lower demand gets no permits; in requests over about the last second.
constexpr double least_wanted = 0.05;

/// The record of a limit that is over is kept for this long, so that a delayed report does not
/// reinstate the limit.
constexpr duration over_kept = seconds{10};

rate_limit_record record_of(instant now, const rate_limit_observation& in)
{
    rate_limit_record out;
    if (in.rate) {
        out.on_named(now, *in.rate, now - in.named_age);
    }
    if (in.not_named_age) {
        out.on_not_named(now, now - *in.not_named_age);
    }
    return out;
}

} // namespace

void permit_allocator::clear(std::uint64_t seed)
{
    limits_.clear();
    random_.seed(seed);
}

void permit_allocator::on_report(instant now, const daemon_id& from, const rate_limit_sightings& in)
{
    for (const auto& [runner, seen] : in) {
        auto found = limits_.find(runner);
        if (found == limits_.end()) {
            if (!seen.rate) {
                continue; // nothing to divide
            }
            found = limits_.emplace(runner, limit{}).first;
            found->second.filled_at = now;
        }
        auto& own = found->second;
        take(now, seen, own);
        auto& share = own.shares[from];
        share.reported_at = now;
        share.wanted.add(now, seen.wanted);
        own.budget = std::min(own.budget + seen.unused, own.most_kept(now));
        own.close(seen.used + seen.unused);
    }
    std::erase_if(limits_,
                  [&](const auto& each) { return each.second.record.is_over(now - over_kept); });
}

void permit_allocator::take(instant now, const rate_limit_observation& in, limit& into)
{
    fill(now, into); // accrue up to now at the previous rate
    const auto before = into.record.rate();
    into.record.merge(now, record_of(now, in));
    if (into.record.rate() < before) {
        into.budget = 0;
        for (auto& [daemon, share] : into.shares) {
            share.permits = 0;
        }
    }
}

double permit_allocator::limit::most_kept(instant now) const
{
    return std::max(least_kept, record.allowed(now).per_second * kept_seconds);
}

double permit_allocator::limit::room(instant now) const
{
    double in_use = 0;
    for (const auto& each : open) {
        in_use += each.count;
    }
    const auto open_seconds = std::chrono::duration<double>(open_time).count();
    return record.allowed(now).per_second * open_seconds + open_beside - in_use;
}

void permit_allocator::limit::close(std::uint32_t count)
{
    while (count > 0 && !open.empty()) {
        auto& oldest = open.front();
        const auto closed = std::min(count, oldest.count);
        count -= closed;
        oldest.count -= closed;
        if (oldest.count == 0) {
            open.pop_front();
        }
    }
}

void permit_allocator::fill(instant now, limit& of)
{
    const auto passed = std::chrono::duration<double>(now - of.filled_at).count();
    of.budget = std::min(of.budget + of.record.allowed(now).per_second * passed, of.most_kept(now));
    of.filled_at = now;
}

void permit_allocator::issue(instant now, limit& of)
{
    std::erase_if(of.shares,
                  [&](const auto& each) { return now - each.second.reported_at > share_lifetime; });
    while (!of.open.empty() && now - of.open.front().issued_at > open_time) {
        of.open.pop_front();
    }
    std::vector<share*> takers;
    std::vector<double> weights;
    for (auto& [daemon, share] : of.shares) {
        if (const auto wanted = share.wanted.value(now); wanted >= least_wanted) {
            takers.push_back(&share);
            weights.push_back(wanted);
        }
    }
    const auto count = std::floor(std::min(of.budget, of.room(now)));
    if (takers.empty() || count < 1) {
        return;
    }
    of.budget -= count;
    of.open.push_back({now, static_cast<std::uint32_t>(count)});
    divide(static_cast<std::uint32_t>(count), takers, weights);
}

void permit_allocator::divide(std::uint32_t count, const std::vector<share*>& takers,
                              const std::vector<double>& weights)
{
    const auto all = std::accumulate(weights.begin(), weights.end(), 0.0);
    auto left = count;
    for (std::size_t each = 0; each < takers.size(); ++each) {
        const auto even = static_cast<std::uint32_t>(count * weights[each] / all);
        takers[each]->permits += even;
        left -= even;
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    for (; left > 0; --left) {
        ++takers[draw(random_)]->permits;
    }
}

std::map<runner_id, permit_grant> permit_allocator::take_grants(instant now, const daemon_id& to)
{
    std::map<runner_id, permit_grant> out;
    for (auto& [runner, own] : limits_) {
        if (own.record.is_over(now)) {
            continue;
        }
        fill(now, own);
        issue(now, own);
        auto& grant = out[runner];
        grant.rate = own.record.rate();
        if (const auto share = own.shares.find(to); share != own.shares.end()) {
            grant.permits = std::exchange(share->second.permits, 0);
        }
    }
    return out;
}

} // namespace cedarpoint

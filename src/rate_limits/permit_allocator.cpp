#include "cedarpoint/rate_limits/permit_allocator.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace cedarpoint {
namespace {

/// A daemon that has not reported for this long gets no permits. Permits issued to it that were not
/// sent yet are dropped.
constexpr duration report_timeout = milliseconds{900};

/// The budget of permits holds at most what accrues at the allowed rate in this time, but no less
/// than the minimum below.
constexpr double budget_capacity_seconds = 0.4;
constexpr double min_budget_capacity = 2;

/// Upper bound for the time from issuing a permit to its use: it is sent in the answer to the
/// daemon's next report, and is valid for less than a second from then on.
constexpr duration max_outstanding_time = milliseconds{1200};
/// Permits that may be outstanding in addition to those that accrue at the rate in
/// `max_outstanding_time`. If each daemon has few requests, several daemons must hold a permit for
/// one of them to use it.
constexpr double extra_outstanding = 2.5;

/// A daemon with a lower demand gets no permits; in requests over about the last second.
constexpr double min_wanted = 0.05;

/// The record of a limit that is over is kept for this long, so that a delayed report does not
/// reinstate the limit.
constexpr duration ended_limit_retention = seconds{10};

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

void permit_allocator::on_report(instant now, const daemon_id& from,
                                 const rate_limit_observations& in)
{
    for (const auto& [runner, seen] : in) {
        auto found = limits_.find(runner);
        if (found == limits_.end()) {
            if (!seen.rate) {
                continue; // nothing to divide
            }
            found = limits_.emplace(runner, limit{}).first;
            found->second.refilled_at = now;
        }
        auto& own = found->second;
        merge_observation(now, seen, own);
        auto& share = own.shares[from];
        share.reported_at = now;
        share.wanted.add(now, seen.wanted);
        own.budget = std::min(own.budget + seen.unused, own.budget_capacity(now));
        own.retire(seen.used + seen.unused);
    }
    std::erase_if(limits_, [&](const auto& each) {
        return each.second.record.is_over(now - ended_limit_retention);
    });
}

void permit_allocator::merge_observation(instant now, const rate_limit_observation& in, limit& into)
{
    refill(now, into); // accrue up to now at the previous rate
    const auto before = into.record.rate();
    into.record.merge(now, record_of(now, in));
    if (into.record.rate() < before) {
        into.budget = 0;
        for (auto& [daemon, share] : into.shares) {
            share.permits = 0;
        }
    }
}

double permit_allocator::limit::budget_capacity(instant now) const
{
    return std::max(min_budget_capacity, record.allowed(now).per_second * budget_capacity_seconds);
}

double permit_allocator::limit::outstanding_headroom(instant now) const
{
    double in_use = 0;
    for (const auto& each : outstanding_batches) {
        in_use += each.count;
    }
    const auto outstanding_seconds = std::chrono::duration<double>(max_outstanding_time).count();
    return record.allowed(now).per_second * outstanding_seconds + extra_outstanding - in_use;
}

void permit_allocator::limit::retire(std::uint32_t count)
{
    while (count > 0 && !outstanding_batches.empty()) {
        auto& oldest = outstanding_batches.front();
        const auto retired = std::min(count, oldest.count);
        count -= retired;
        oldest.count -= retired;
        if (oldest.count == 0) {
            outstanding_batches.pop_front();
        }
    }
}

void permit_allocator::refill(instant now, limit& of)
{
    const auto passed = std::chrono::duration<double>(now - of.refilled_at).count();
    of.budget =
        std::min(of.budget + of.record.allowed(now).per_second * passed, of.budget_capacity(now));
    of.refilled_at = now;
}

void permit_allocator::issue(instant now, limit& of)
{
    std::erase_if(of.shares,
                  [&](const auto& each) { return now - each.second.reported_at > report_timeout; });
    while (!of.outstanding_batches.empty() &&
           now - of.outstanding_batches.front().issued_at > max_outstanding_time) {
        of.outstanding_batches.pop_front();
    }
    std::vector<share*> takers;
    std::vector<double> weights;
    for (auto& [daemon, share] : of.shares) {
        if (const auto wanted = share.wanted.value(now); wanted >= min_wanted) {
            takers.push_back(&share);
            weights.push_back(wanted);
        }
    }
    const auto count = std::floor(std::min(of.budget, of.outstanding_headroom(now)));
    if (takers.empty() || count < 1) {
        return;
    }
    of.budget -= count;
    of.outstanding_batches.push_back({now, static_cast<std::uint32_t>(count)});
    divide(static_cast<std::uint32_t>(count), takers, weights);
}

void permit_allocator::divide(std::uint32_t count, const std::vector<share*>& takers,
                              const std::vector<double>& weights)
{
    const auto all = std::accumulate(weights.begin(), weights.end(), 0.0);
    auto left = count;
    for (std::size_t each = 0; each < takers.size(); ++each) {
        const auto whole_share = static_cast<std::uint32_t>(count * weights[each] / all);
        takers[each]->permits += whole_share;
        left -= whole_share;
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
        refill(now, own);
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

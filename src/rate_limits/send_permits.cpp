#include "cedarpoint/rate_limits/send_permits.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Validity of a permit, counted from the report that the leader answers with it: long enough for a
/// request to arrive that can use it, short enough that unused permits of several daemons don't add
/// up to a burst.
constexpr duration permit_lifetime = milliseconds{800};

/// If the leader has not reported the limit for this long, the daemon issues its own permits.
constexpr duration leader_timeout = seconds{1};

} // namespace

bool send_permits::on_answer(instant now, const runner_id& runner, const rate_limit_reading& in,
                             instant sent_at)
{
    using kind_t = rate_limit_reading::kind_t;
    auto found = limits_.find(runner);
    if (in.kind == kind_t::unreadable || (in.kind == kind_t::absent && found == limits_.end())) {
        return false;
    }
    if (found == limits_.end()) {
        found = limits_.emplace(runner, limit{}).first;
        found->second.leader_reported_at = now;
    }
    auto& own = found->second;
    const bool was_limited = own.record.is_limited();
    const auto before = own.record.rate();
    if (in.kind == kind_t::absent) {
        own.record.on_not_named(now, sent_at);
        return was_limited && !own.record.is_limited();
    }
    own.record.on_named(now, in.rate, now);
    const bool is_lower = !was_limited || own.record.rate() < before;
    if (is_lower) {
        own.permits.clear(); // issued for more than the runner takes now
    }
    return is_lower || own.record.rate() != before;
}

void send_permits::on_grants(instant asked_at, const std::map<runner_id, permit_grant>& in)
{
    for (const auto& [runner, grant] : in) {
        auto& own = limits_[runner];
        if (own.leader_rate && grant.rate < *own.leader_rate) {
            own.permits.clear(); // issued for more than the runner takes now
        }
        own.leader_rate = grant.rate;
        own.leader_reported_at = std::max(own.leader_reported_at, asked_at);
        own.next_own_permit_at.reset();
        if (grant.permits > 0) {
            own.permits.push_back({asked_at + permit_lifetime, grant.permits, true});
        }
    }
    std::erase_if(limits_, [&](const auto& each) {
        // A limit that this daemon learned of after its report can't be in the leader's answer yet.
        const auto named_at = each.second.record.named_at();
        return !in.contains(each.first) && (!named_at || *named_at < asked_at);
    });
}

bool send_permits::may_send(instant now, const runner_id& runner)
{
    const auto found = limits_.find(runner);
    if (found == limits_.end()) {
        return true;
    }
    auto& own = found->second;
    const bool has_leader = now - own.leader_reported_at <= leader_timeout;
    if (!has_leader && own.record.is_over(now)) {
        limits_.erase(found);
        return true;
    }
    ++own.wanted;
    if (!has_leader) {
        issue_own_permits(now, own);
    }
    drop_expired(now, own);
    return !own.permits.empty();
}

void send_permits::on_sent(instant now, const runner_id& runner)
{
    const auto found = limits_.find(runner);
    if (found == limits_.end()) {
        return;
    }
    drop_expired(now, found->second);
    auto& permits = found->second.permits;
    if (permits.empty()) {
        return;
    }
    found->second.used += permits.front().is_from_leader ? 1 : 0;
    if (--permits.front().count == 0) {
        permits.pop_front();
    }
}

void send_permits::drop_expired(instant now, limit& of)
{
    while (!of.permits.empty() && of.permits.front().expires_at <= now) {
        const auto& expired = of.permits.front();
        of.unused += expired.is_from_leader ? expired.count : 0;
        of.permits.pop_front();
    }
}

request_rate send_permits::rate_of(const runner_id& runner) const
{
    const auto& own = limits_.at(runner);
    return own.record.named_at() ? own.record.rate() : own.leader_rate.value_or(request_rate{});
}

rate_limit_observations send_permits::take_observations(instant now)
{
    rate_limit_observations out;
    for (auto& [runner, own] : limits_) {
        auto& seen = out[runner];
        if (const auto at = own.record.named_at()) {
            seen.rate = own.record.rate();
            seen.named_age = milliseconds{to_ms(now - *at)};
        }
        if (const auto at = own.record.not_named_at()) {
            seen.not_named_age = milliseconds{to_ms(now - *at)};
        }
        drop_expired(now, own);
        seen.wanted = std::exchange(own.wanted, 0);
        seen.used = std::exchange(own.used, 0);
        seen.unused = std::exchange(own.unused, 0);
    }
    return out;
}

// --- without a leader ---------------------------------------------------------------------------

duration send_permits::own_permit_interval(instant now, const limit& of) const
{
    const auto rate = of.record.allowed(now).per_second * options_.rate_fraction;
    const auto seconds = static_cast<double>(options_.daemons) / rate;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

duration send_permits::draw_up_to(duration interval)
{
    return duration{std::uniform_int_distribution<duration::rep>{0, interval.count()}(random_)};
}

void send_permits::issue_own_permits(instant now, limit& of)
{
    if (options_.daemons == 0) {
        return;
    }
    if (!of.record.named_at() && of.leader_rate) {
        // The limit is known only from the leader.
        of.record.on_named(now, *of.leader_rate, of.leader_reported_at);
    }
    const auto interval = own_permit_interval(now, of);
    const bool was_idle = of.next_own_permit_at && *of.next_own_permit_at + permit_lifetime < now;
    if (!of.next_own_permit_at || was_idle) {
        of.next_own_permit_at = now + draw_up_to(interval);
    }
    while (*of.next_own_permit_at <= now) {
        of.permits.push_back({*of.next_own_permit_at + permit_lifetime, 1, false});
        *of.next_own_permit_at += interval;
    }
}

} // namespace cedarpoint

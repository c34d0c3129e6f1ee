#include "cedarpoint/fleet/follower_tracker.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// A follower that has not reported for this long is lost.
constexpr duration follower_timeout = milliseconds{2500};

/// An update that is not confirmed within this time is sent again.
constexpr duration resend_after = seconds{1};

/// The same for a follower that reports a gap. Two report intervals, so that an update in flight
/// can still arrive.
constexpr duration resend_after_gap = milliseconds{400};

} // namespace

std::uint64_t follower_tracker::on_report(instant now, const daemon_id& name,
                                          std::uint64_t confirmed, bool behind,
                                          std::uint64_t current)
{
    auto& own = followers_[name];
    own.last_report = now;
    if (confirmed > own.confirmed || confirmed == own.sent) {
        own.progress_at = now;
    }
    own.confirmed = confirmed;
    const auto resend_delay = behind ? resend_after_gap : resend_after;
    const bool under_way =
        !own.dropped && confirmed < own.sent && now - own.progress_at < resend_delay;
    own.dropped = false;
    if (!under_way) {
        own.progress_at = now;
    }
    const auto from = under_way ? own.sent : confirmed;
    own.sent = current;
    return from;
}

void follower_tracker::on_dropped(const daemon_id& follower)
{
    if (const auto found = followers_.find(follower); found != followers_.end()) {
        found->second.dropped = true;
    }
}

std::vector<follower_tracker::pending> follower_tracker::take_pending(instant now,
                                                                      std::uint64_t current)
{
    std::vector<pending> out;
    for (auto& [name, own] : followers_) {
        if (own.sent >= current) {
            continue;
        }
        if (own.sent == own.confirmed) {
            own.progress_at = now;
        }
        out.emplace_back(name, own.sent);
        own.sent = current;
    }
    return out;
}

std::vector<daemon_id> follower_tracker::take_lost(instant now)
{
    std::vector<daemon_id> out;
    std::erase_if(followers_, [&](const auto& each) {
        if (now - each.second.last_report < follower_timeout) {
            return false;
        }
        out.push_back(each.first);
        return true;
    });
    return out;
}

} // namespace cedarpoint

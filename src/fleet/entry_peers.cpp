#include "cedarpoint/fleet/entry_peers.h"

#include "cedarpoint/fleet/target_ranking.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Cost of a peer in another failure domain, in requests in flight. Traffic between failure domains
/// is expensive, so that the own domain is preferred until it carries clearly more.
constexpr double other_domain_cost = 8;

/// A peer that the leader no longer lists is used for this long: the time in which all daemons have
/// reported to a new leader.
constexpr duration unlisted_lifetime = seconds{3};

/// Interval between two probes of a peer that is not reached.
constexpr duration probe_interval = milliseconds{400};

} // namespace

entry_peers::entry_peers(endpoint own_address, failure_domain_id own_domain)
    : own_address_{std::move(own_address)}, own_domain_{std::move(own_domain)}
{
}

void entry_peers::update(instant now, const std::vector<entry_peer>& peers)
{
    for (auto& [address, own] : peers_) {
        own.unlisted_since = own.unlisted_since.value_or(now);
    }
    for (const auto& peer : peers) {
        if (peer.address != own_address_) {
            auto& own = peers_[peer.address];
            own.peer = peer;
            own.unlisted_since.reset();
        }
    }
    std::erase_if(peers_, [&](const auto& each) {
        return each.second.in_flight == 0 && !is_listed(now, each.second);
    });
}

bool entry_peers::is_listed(instant now, const state& in)
{
    return !in.unlisted_since || now - *in.unlisted_since <= unlisted_lifetime;
}

bool entry_peers::is_usable(instant now, const state& in)
{
    return !in.peer.cut_off && !in.next_probe && now >= in.backoff_until && is_listed(now, in);
}

double entry_peers::cost_of(const state& in) const
{
    return in.in_flight + (in.peer.failure_domain == own_domain_ ? 0 : other_domain_cost);
}

const entry_peer* entry_peers::choose(instant now, const std::set<endpoint>& tried) const
{
    const state* best = nullptr;
    auto it = peers_.upper_bound(latest_sent_to_);
    for (std::size_t n = 0; n < peers_.size(); ++n, ++it) {
        it = it == peers_.end() ? peers_.begin() : it;
        const auto& [address, own] = *it;
        if (is_usable(now, own) && !tried.contains(address) &&
            (best == nullptr || cost_of(own) < cost_of(*best))) {
            best = &own;
        }
    }
    return best == nullptr ? nullptr : &best->peer;
}

entry_peers::state* entry_peers::find(const endpoint& peer)
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? nullptr : &found->second;
}

void entry_peers::on_sent(const endpoint& peer)
{
    if (auto* own = find(peer)) {
        ++own->in_flight;
        latest_sent_to_ = peer;
    }
}

void entry_peers::on_done(const endpoint& peer)
{
    if (auto* own = find(peer)) {
        own->in_flight = std::max(0, own->in_flight - 1);
    }
}

void entry_peers::on_success(const endpoint& peer)
{
    if (auto* own = find(peer)) {
        own->failures = 0;
        own->backoff_until = {};
        own->next_probe.reset();
    }
}

void entry_peers::on_failure(instant now, const endpoint& peer)
{
    // All requests in flight fail when a peer ends. Counted one by one, they would add up to the
    // longest backoff.
    if (auto* own = find(peer); own != nullptr && now >= own->backoff_until) {
        ++own->failures;
        own->backoff_until = now + backoff_after(own->failures);
    }
}

void entry_peers::on_reached(const endpoint& peer)
{
    if (auto* own = find(peer)) {
        own->next_probe.reset();
    }
}

void entry_peers::on_unreachable(instant now, const endpoint& peer)
{
    if (auto* own = find(peer)) {
        own->next_probe = own->next_probe.value_or(now);
    }
}

std::vector<endpoint> entry_peers::take_due_probes(instant now)
{
    std::vector<endpoint> out;
    for (auto& [address, own] : peers_) {
        if (own.next_probe && now >= *own.next_probe) {
            own.next_probe = now + probe_interval;
            out.push_back(address);
        }
    }
    return out;
}

} // namespace cedarpoint

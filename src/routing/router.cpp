#include "cedarpoint/routing/router.h"

#include <algorithm>

namespace cedarpoint {
namespace {

constexpr const char* full_note = "full";

bool serves(const target& it, const route_query& query)
{
    if (query.pools.empty()) {
        return !it.group && it.service == query.service;
    }
    return it.pool &&
           std::find(query.pools.begin(), query.pools.end(), *it.pool) != query.pools.end();
}

/// A small deterministic spread, so that equal targets do not all get the first request.
double spread(const target& it, std::uint64_t salt)
{
    constexpr std::uint64_t odd = 0x9E3779B97F4A7C15ULL;
    constexpr double tiny = 1e-6;
    const auto mixed = (std::hash<runner_id>{}(it.upstream) ^ salt) * odd;
    return static_cast<double>(mixed >> 44U) / (1U << 20U) * tiny;
}

} // namespace

double router::load(const target& it) const
{
    return static_cast<double>(in_flight(it.upstream) + it.reported_others) / std::max(1, it.slots);
}

std::string router::why_out(instant now, const target& it, const route_query& query) const
{
    if (query.tried.contains(it.upstream)) {
        return "tried";
    }
    if (it.draining) {
        return "draining";
    }
    if (!it.present) {
        return "absent";
    }
    if (now >= it.valid_until) {
        return "grant expired";
    }
    if (const auto found = breakers_.find(it.upstream);
        found != breakers_.end() && !found->second.allows(now)) {
        return "breaker open";
    }
    if (in_flight(it.upstream) + it.reported_others >= it.slots) {
        return full_note;
    }
    return {};
}

double router::score(const target& it, const route_query& query) const
{
    double out = -load(it) + spread(it, query.salt);
    if (it.failure_domain == home_) {
        out += home_bonus;
    }
    if (!it.group) {
        return out;
    }
    if (query.session_at == it.group) {
        out += session_bonus;
    }
    if (const auto found = prefixes_.find(query.prefix);
        query.prefix != 0 && found != prefixes_.end() && found->second.group == *it.group) {
        out += prefix_bonus;
    }
    return out;
}

route_choice router::choose(instant now, const route_query& query) const
{
    route_choice out;
    double best = 0;
    for (const auto& it : targets_) {
        if (!serves(it, query)) {
            continue;
        }
        scored_target row{&it, score(it, query), why_out(now, it, query)};
        out.any_alive = out.any_alive || row.note.empty() || row.note == full_note;
        if (row.note.empty() && (out.chosen == nullptr || row.score > best)) {
            out.chosen = &it;
            best = row.score;
        }
        out.looked_at.push_back(std::move(row));
    }
    if (out.chosen == nullptr) {
        out.reason = out.any_alive ? "all full" : "none alive";
    }
    else if (out.chosen->group && query.session_at == out.chosen->group) {
        out.reason = "session";
    }
    else {
        out.reason = "best score";
    }
    return out;
}

int router::in_flight(const runner_id& upstream) const
{
    const auto it = in_flight_.find(upstream);
    return it == in_flight_.end() ? 0 : it->second;
}

void router::on_dispatch(instant now, const target& place, std::uint64_t prefix)
{
    ++in_flight_[place.upstream];
    breakers_[place.upstream].on_dispatch(now);
    if (prefix != 0 && place.group) {
        remember_prefix(prefix, *place.group);
    }
}

void router::on_end(instant now, const runner_id& upstream, bool failed)
{
    if (const auto it = in_flight_.find(upstream); it != in_flight_.end() && --it->second <= 0) {
        in_flight_.erase(it);
    }
    auto& guard = breakers_[upstream];
    if (failed) {
        guard.on_failure(now);
    }
    else {
        guard.on_success();
    }
}

void router::remember_prefix(std::uint64_t prefix, const group_id& group)
{
    if (const auto it = prefixes_.find(prefix); it != prefixes_.end()) {
        prefix_order_.erase(it->second.order);
        prefixes_.erase(it);
    }
    prefixes_.emplace(prefix,
                      prefix_entry{group, prefix_order_.insert(prefix_order_.end(), prefix)});
    if (prefixes_.size() > max_prefixes) {
        prefixes_.erase(prefix_order_.front());
        prefix_order_.pop_front();
    }
}

} // namespace cedarpoint

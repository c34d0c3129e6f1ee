#include "cedarpoint/routing/router.h"

#include <algorithm>

namespace cedarpoint {
namespace {

constexpr const char* full_note = "full";
constexpr const char* rate_limited_note = "rate limited";
constexpr const char* paused_note = "paused";

/// Returns true for the note of a target that could take the request if it were less busy.
bool is_busy(const std::string& note)
{
    return note == full_note || note == rate_limited_note || note == paused_note;
}

bool serves(const target& it, const route_query& query)
{
    if (query.pools.empty()) {
        return !it.group && it.service == query.service;
    }
    return it.pool &&
           std::find(query.pools.begin(), query.pools.end(), *it.pool) != query.pools.end();
}

/// Returns a value from 0 to 1e-6 that is always the same for the same salt and target. Without it,
/// the first of several targets with equal scores would always be chosen.
double tie_break(const target& it, std::uint64_t salt)
{
    constexpr std::uint64_t golden_ratio = 0x9E3779B97F4A7C15ULL; // 2^64 divided by it; mixes well
    constexpr unsigned kept_bits = 20;                            // highest bits of the product
    constexpr double tiny = 1e-6;
    const auto mixed = (std::hash<runner_id>{}(it.upstream) ^ salt) * golden_ratio;
    return static_cast<double>(mixed >> (64U - kept_bits)) / (1U << kept_bits) * tiny;
}

} // namespace

int router::requests_at(const target& it) const
{
    return in_flight(it.upstream) + it.reported_others;
}

double router::load(const target& it) const
{
    return static_cast<double>(requests_at(it)) / std::max(1, it.slots);
}

bool router::has_cached(const target& it, std::uint64_t prefix) const
{
    const auto found = prefixes_.find(prefix);
    return prefix != 0 && it.group && found != prefixes_.end() && found->second.group == *it.group;
}

/// Returns the first reason why the target can't take the request, for the decision log; empty if
/// it can.
std::string router::exclusion_reason(instant now, const target& it, const route_query& query)
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
    if (const auto hold = holds_.find(now, it.upstream); hold != send_hold::none) {
        return hold == send_hold::paused ? paused_note : "leaving";
    }
    if (requests_at(it) >= it.slots) {
        return full_note;
    }
    if (!permits_.may_send(now, it.upstream)) {
        return rate_limited_note;
    }
    return {};
}

double router::score(const target& it, const route_query& query) const
{
    const bool holds_session = it.group && query.session_at == it.group;
    const double by_load = -load(it);
    const double by_tie_break = tie_break(it, query.salt);
    const double by_domain = it.failure_domain == home_ ? home_bonus : 0;
    const double by_session = holds_session ? session_bonus : 0;
    const double by_prefix = has_cached(it, query.prefix) ? prefix_bonus : 0;
    return by_load + by_tie_break + by_domain + by_session + by_prefix;
}

route_choice router::choose(instant now, const route_query& query)
{
    route_choice out;
    double best = 0;
    for (const auto& it : targets_) {
        if (!serves(it, query)) {
            continue;
        }
        scored_target row{&it, score(it, query), exclusion_reason(now, it, query)};
        out.any_alive = out.any_alive || row.note.empty() || is_busy(row.note);
        if (row.note.empty() && (out.chosen == nullptr || row.score > best)) {
            out.chosen = &it;
            best = row.score;
        }
        out.candidates.push_back(std::move(row));
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

void router::set_targets(target_table all)
{
    targets_ = std::move(all);
    for (const auto& it : targets_) {
        if (!it.present) {
            holds_.clear_leave(it.upstream);
        }
    }
}

new_signals router::on_signals(instant now, const runner_id& upstream, const answer_signals& in,
                               instant sent_at)
{
    if (in.is_from_other_runner) {
        return {};
    }
    if (in.asks_for_pause()) {
        holds_.on_pause(now, upstream, {}, in.pause.time);
    }
    const bool leaves = in.leave == leave_reading::leaving;
    return {permits_.on_answer(now, upstream, in.rate_limit, sent_at),
            leaves && holds_.on_leaving(now, upstream, {})};
}

int router::in_flight(const runner_id& upstream) const
{
    const auto it = in_flight_.find(upstream);
    return it == in_flight_.end() ? 0 : it->second;
}

void router::on_dispatch(instant now, const target& place, std::uint64_t prefix)
{
    ++in_flight_[place.upstream];
    permits_.on_sent(now, place.upstream);
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

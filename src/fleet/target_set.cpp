#include "cedarpoint/fleet/target_set.h"

#include "cedarpoint/fleet/target_ranking.h"

#include <algorithm>

namespace cedarpoint {
namespace {

fleet_target make_target(const view_runner& in, const view_group* group)
{
    fleet_target out;
    out.runner = in.id;
    out.its_incarnation = in.its_incarnation;
    out.address = in.address;
    out.service = in.service;
    out.failure_domain = in.failure_domain;
    out.slots = in.slots;
    out.accepting = in.accepting;
    out.suspected = in.suspected;
    out.slowness = std::max(in.slowness, 1);
    if (group != nullptr) {
        out.model = group->model;
        out.group = group->name;
        out.accepting = in.accepting && group->accepting;
    }
    return out;
}

bool has_observations(const target_stats& in)
{
    return in.in_flight > 0 || in.failed_connects > 0 || in.refused || in.waits > 0;
}

} // namespace

target_set::target_set(failure_domain_id own_domain, std::uint64_t seed)
    : own_domain_{std::move(own_domain)}, random_{seed}, permits_{{.seed = random_()}}
{
}

void target_set::update(instant now, const view_content& view)
{
    targets_.clear();
    by_service_model_.clear();
    std::map<runner_id, incarnation> incarnations;
    std::set<runner_id> accepting;
    std::map<runner_id, const view_group*> heads;
    for (const auto& [name, group] : view.groups) {
        if (!group.members.empty()) {
            heads[group.members.front()] = &group;
        }
    }
    for (const auto& [runner, facts] : view.runners) {
        const auto head = heads.find(runner);
        auto target = make_target(facts, head == heads.end() ? nullptr : head->second);
        by_service_model_[{target.service, target.model}].push_back(runner);
        incarnations[runner] = target.its_incarnation;
        if (target.accepting) {
            accepting.insert(runner);
        }
        targets_.emplace(runner, std::move(target));
    }
    holds_.on_incarnations(now, std::move(incarnations));
    paths_.set_runners(accepting);
    std::erase_if(stats_, [&](const auto& each) {
        return each.second.in_flight == 0 && !targets_.contains(each.first);
    });
}

void target_set::update_loads(const std::map<runner_id, int>& in_flight_elsewhere)
{
    for (auto& [runner, stats] : stats_) {
        stats.in_flight_elsewhere = 0;
    }
    for (const auto& [runner, count] : in_flight_elsewhere) {
        if (targets_.contains(runner)) {
            stats_[runner].in_flight_elsewhere = count;
        }
    }
}

target_choice target_set::choose(instant now, const service_id& service, const model_id& model,
                                 const std::set<runner_id>& tried)
{
    target_choice out;
    const auto candidates = by_service_model_.find({service, model});
    if (candidates == by_service_model_.end()) {
        return out;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    double lowest = 0;
    for (const auto& runner : candidates->second) {
        const auto& target = targets_.at(runner);
        if (!target.accepting || tried.contains(runner)) {
            continue;
        }
        if (is_held(now, runner, out)) {
            continue;
        }
        const auto& stats = stats_[runner];
        if (is_full(target, stats)) {
            out.outcome = std::max(out.outcome, target_choice::outcome_t::all_full);
            continue;
        }
        if (!permits_.may_send(now, runner)) {
            out.outcome = target_choice::outcome_t::rate_limited;
            continue;
        }
        const auto cost = target_cost(now, target, stats, own_domain_, draw(random_)) +
                          path_cost(paths_.is_failing(runner));
        if (out.target == nullptr || cost < lowest) {
            out.target = &target;
            lowest = cost;
        }
    }
    if (out.target != nullptr) {
        out.outcome = target_choice::outcome_t::chosen;
    }
    return out;
}

bool target_set::is_held(instant now, const runner_id& runner, target_choice& out) const
{
    const auto hold = holds_.find(now, runner);
    if (hold != send_hold::paused) {
        return hold != send_hold::none;
    }
    out.outcome = std::max(out.outcome, target_choice::outcome_t::paused);
    const auto ends = *holds_.paused_until(now, runner);
    out.pause_ends = std::min(out.pause_ends.value_or(ends), ends);
    return true;
}

const fleet_target* target_set::find(const runner_id& runner) const
{
    const auto found = targets_.find(runner);
    return found == targets_.end() ? nullptr : &found->second;
}

std::map<runner_id, incarnation> target_set::leaving_targets() const
{
    auto out = holds_.leaving();
    std::erase_if(out, [this](const auto& each) {
        const auto* target = find(each.first);
        return target == nullptr || !target->accepting;
    });
    return out;
}

void target_set::on_sent(instant now, const runner_id& runner)
{
    permits_.on_sent(now, runner);
    auto& stats = stats_[runner];
    if (stats.in_flight++ == 0) {
        stats.waiting_since = now;
    }
}

void target_set::on_connected(instant now, const runner_id& runner)
{
    paths_.on_reached(now, runner);
    if (auto& stats = stats_[runner]; stats.failed_connects > 0) {
        stats.failed_connects = 0;
        stats.refused = false;
        on_success(runner);
    }
}

void target_set::on_byte(instant now, const runner_id& runner)
{
    paths_.on_reached(now, runner);
    auto& stats = stats_[runner];
    stats.waiting_since = now;
    stats.latest_byte = now;
    stats.failed_connects = 0;
    stats.refused = false;
}

void target_set::on_done(const runner_id& runner)
{
    auto& stats = stats_[runner];
    stats.in_flight = std::max(0, stats.in_flight - 1);
}

void target_set::on_wait(const runner_id& runner, duration wait)
{
    auto& stats = stats_[runner];
    ++stats.waits;
    stats.waited += wait;
}

void target_set::on_success(const runner_id& runner)
{
    auto& stats = stats_[runner];
    stats.failures = 0;
    stats.backoff_until = {};
}

void target_set::on_failure(instant now, const runner_id& runner)
{
    auto& stats = stats_[runner];
    ++stats.failures;
    stats.backoff_until = now + backoff_after(stats.failures);
}

void target_set::on_unreachable(instant now, const runner_id& runner, bool refused)
{
    auto& stats = stats_[runner];
    ++stats.failed_connects;
    stats.refused = stats.refused || refused;
    paths_.on_connect_failed(now, runner);
    on_failure(now, runner);
}

void target_set::check_silence(instant now)
{
    std::vector<instant> silent_since;
    for (const auto& [runner, stats] : stats_) {
        if (stats.in_flight > 0 && now - stats.waiting_since >= path_monitor::cut_off_silence) {
            silent_since.push_back(stats.waiting_since);
        }
    }
    paths_.on_silence(now, silent_since);
}

std::map<runner_id, runner_observation> target_set::take_observations(instant now)
{
    std::map<runner_id, runner_observation> out;
    for (auto& [runner, stats] : stats_) {
        if (!has_observations(stats)) {
            continue;
        }
        auto& seen = out[runner];
        seen.in_flight = stats.in_flight;
        if (stats.in_flight > 0) {
            seen.silence = milliseconds{to_ms(now - stats.waiting_since)};
        }
        seen.since_byte = milliseconds{to_ms(now - stats.latest_byte)};
        seen.failed_connects = stats.failed_connects;
        seen.refused = stats.refused;
        seen.waits = std::exchange(stats.waits, 0);
        seen.waited = std::exchange(stats.waited, {});
    }
    return out;
}

} // namespace cedarpoint

#include "cedarpoint/fleet/group_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace cedarpoint {
namespace {

constexpr unsigned term_shift = 20; ///< an epoch: the leader's term, then a counter
constexpr duration wait_margin = milliseconds{700};
constexpr duration check_patience = milliseconds{900}; ///< for entry daemons to try a head
constexpr duration idle_trust = seconds{2}; ///< a silent member of a group is trusted so long
constexpr duration retire_shortest = milliseconds{500};
constexpr int looks_to_doubt = 2; ///< unanswered in a row

/// The head's id stands in the name, so that a new leader knows it without having heard the head.
group_id make_name(const runner_id& head, epoch assignment)
{
    return group_id{head.str() + "." + std::to_string(assignment.value)};
}

runner_id head_in(const group_id& name)
{
    return runner_id{name.str().substr(0, name.str().rfind('.'))};
}

} // namespace

std::string_view name_of(plan_phase phase)
{
    constexpr std::array<std::string_view, 6> names{"joining",  "opening",   "serving",
                                                    "retiring", "releasing", "waiting"};
    return names.at(static_cast<std::size_t>(phase));
}

group_planner::group_planner(planner_options options, const runner_registry& registry,
                             const sighting_board& sightings, const fleet_state& state)
    : options_{options}, registry_{registry}, sightings_{sightings}, state_{state}
{
}

void group_planner::begin_term(instant now, std::uint64_t term)
{
    term_ = term;
    formed_ = 0;
    settled_at_ = now + options_.settle;
    groups_.clear();
    placed_.clear();
    ordered_.clear();
    looked_.clear();
    unanswered_.clear();
    staging_.clear();
    released_.clear();
    inherit_groups(now);
}

void group_planner::inherit_groups(instant now)
{
    for (const auto& [name, formed] : state_.groups()) {
        planned_group group;
        group.name = name;
        group.assignment = formed.assignment;
        group.service = formed.service;
        group.model = formed.model;
        group.members = formed.members;
        for (const auto& member : formed.members) {
            placed_[member] = name;
            last_model_[member] = group.model;
        }
        auto& kept = groups_[name] = std::move(group);
        enter(now, kept, plan_phase::serving, "inherited");
    }
}

void group_planner::record(std::string command)
{
    planner_step step;
    step.kind = planner_step::kind_t::record;
    step.command = std::move(command);
    steps_.push_back(std::move(step));
}

void group_planner::record_formed(const planned_group& group)
{
    record(fleet_state::form_group(
        {group.name, group.assignment, group.service, group.model, group.members}));
}

bool group_planner::is_doubted(const runner_id& runner, int looks) const
{
    const auto found = unanswered_.find(runner);
    return found != unanswered_.end() && found->second >= looks;
}

void group_planner::set_configuration(const fleet_configuration* configuration)
{
    configuration_ = configuration;
    for (const auto& service : configuration->services) {
        if (service.engine) {
            loads_.set_limits(service.engine->loads_per_second, service.engine->loads_at_once);
        }
    }
}

std::vector<planner_step> group_planner::tick(instant now)
{
    if (configuration_ == nullptr) {
        return {};
    }
    loads_.set_unmetered(sightings_.started() == 0);
    finished_.clear();
    if (is_settled(now)) {
        adopt(now);
    }
    for (auto& [name, group] : groups_) {
        look_after(now, group);
    }
    for (const auto& name : finished_) {
        groups_.erase(name);
    }
    if (is_settled(now) && has_heard_fleet(now)) {
        form(now);
    }
    return std::exchange(steps_, {});
}

// --- groups of an earlier leader ----------------------------------------------------------------

void group_planner::adopt(instant now)
{
    std::map<std::pair<group_id, epoch>, std::map<std::size_t, runner_id>> found;
    for (const auto& [runner, record] : registry_.records()) {
        const auto& membership = record.latest.membership;
        if (!membership || !registry_.is_present(record) || groups_.contains(membership->group)) {
            continue;
        }
        const auto released = released_.find({membership->group, runner});
        if (released != released_.end() && record.heard <= released->second) {
            continue; // it has said nothing since
        }
        const bool stands_open =
            membership->rank == 0 &&
            (membership->phase == member_phase::open || membership->phase == member_phase::closing);
        if (!stands_open && (placed_.contains(runner) || released != released_.end())) {
            continue;
        }
        found[{membership->group, membership->assignment}].emplace(membership->rank, runner);
    }
    for (const auto& [key, ranks] : found) {
        planned_group group;
        group.name = key.first;
        group.assignment = key.second;
        group.since = now;
        adopt_group(now, std::move(group), ranks);
    }
}

void group_planner::adopt_group(instant now, planned_group group,
                                const std::map<std::size_t, runner_id>& ranks)
{
    const auto& any = registry_.find(ranks.begin()->second)->latest;
    group.service = any.service;
    group.model = any.models.empty() ? model_id{} : any.models.front();
    const auto* model = configuration_->find_model(group.service, group.model);
    const auto head = head_in(group.name);
    if (ranks.begin()->first != 0) {
        group.members.push_back(head);
    }
    for (const auto& [rank, runner] : ranks) {
        group.members.push_back(runner);
    }
    const auto* head_record = registry_.find(head);
    const bool open = head_record != nullptr && head_record->latest.membership &&
                      head_record->latest.membership->group == group.name &&
                      head_record->latest.membership->phase == member_phase::open;
    const bool whole = model != nullptr && ranks.size() == model->group_size;
    for (const auto& member : group.members) {
        placed_.try_emplace(member, group.name);
    }
    auto& kept = groups_[group.name] = std::move(group);
    enter(now, kept, open && whole ? plan_phase::serving : plan_phase::releasing, "found");
}

// --- groups of the plan -------------------------------------------------------------------------

void group_planner::look_after(instant now, planned_group& group)
{
    using handler = void (group_planner::*)(instant, planned_group&);
    constexpr std::array<handler, 6> handlers{
        &group_planner::join_members,  &group_planner::open_head,
        &group_planner::watch_serving, &group_planner::watch_retiring,
        &group_planner::release_head,  &group_planner::watch_waiting};
    (this->*handlers.at(static_cast<std::size_t>(group.phase)))(now, group);
}

bool group_planner::is_member_at(const runner_id& runner, const planned_group& group,
                                 member_phase phase) const
{
    const auto* record = registry_.find(runner);
    if (record == nullptr || !record->latest.membership) {
        return false;
    }
    const auto& membership = *record->latest.membership;
    return membership.group == group.name && membership.assignment == group.assignment &&
           membership.phase == phase;
}

group_planner::member_health group_planner::health_of(instant now, const planned_group& group,
                                                      const runner_id& runner) const
{
    const auto* record = registry_.find(runner);
    if (record == nullptr || !registry_.is_present(*record)) {
        return member_health::lost;
    }
    const bool forming = group.phase == plan_phase::joining;
    const auto& membership = record->latest.membership;
    const bool belongs =
        membership && membership->group == group.name && membership->assignment == group.assignment;
    if (!forming && !belongs) {
        return member_health::lost;
    }
    if (record->latest.draining || state_.is_leaving(runner)) {
        return member_health::draining;
    }
    return now - record->heard > options_.heartbeat * 3 / 2 ? member_health::silent
                                                            : member_health::present;
}

void group_planner::begin_group(instant now, const proposal& chosen, free_map& free)
{
    planned_group group;
    group.assignment = epoch{(term_ << term_shift) + ++formed_};
    group.members = chosen.members;
    group.name = make_name(group.members.front(), group.assignment);
    group.service = chosen.service->name;
    group.model = chosen.model->name;
    group.loads = chosen.loads;
    loads_.begin(now, chosen.loads);
    for (const auto& member : group.members) {
        placed_[member] = group.name;
        last_model_[member] = group.model;
        std::erase(free[registry_.find(member)->latest.fabric_domain], member);
    }
    auto& kept = groups_[group.name] = std::move(group);
    enter(now, kept, plan_phase::joining, "formed");
    join_members(now, kept);
}

void group_planner::join_members(instant now, planned_group& group)
{
    bool all_ready = true;
    for (const auto& member : group.members) {
        const auto health = health_of(now, group, member);
        const bool unheard = health == member_health::silent && is_doubted(member, looks_to_doubt);
        if (health == member_health::lost || health == member_health::draining || unheard) {
            finish(now, group, "member " + member.str() + " is not to be had");
            return;
        }
        if (health == member_health::silent) {
            look(now, member);
        }
        if (is_member_at(member, group, member_phase::ready)) {
            continue;
        }
        all_ready = false;
        if (!is_member_at(member, group, member_phase::joining)) {
            auto next = order_for(group, order_kind::join, member);
            next.model = group.model;
            next.members = group.members;
            order(now, next);
        }
    }
    if (all_ready) {
        enter(now, group, plan_phase::opening, "all members are ready");
        record_formed(group);
    }
}

void group_planner::open_head(instant now, planned_group& group)
{
    for (const auto& member : group.members) {
        if (health_of(now, group, member) == member_health::lost) {
            lose_member(now, group, "member " + member.str() + " is lost");
            return;
        }
    }
    if (is_member_at(group.members.front(), group, member_phase::open)) {
        enter(now, group, plan_phase::serving, "the head is open");
        return;
    }
    // Not before every later leader will know of it: its head may be open from then on.
    if (state_.groups().contains(group.name)) {
        order(now, order_for(group, order_kind::open, group.members.front()));
    }
}

void group_planner::look_at_members(instant now, const planned_group& group)
{
    for (const auto& member : group.members) {
        look(now, member);
    }
}

void group_planner::watch_serving(instant now, planned_group& group)
{
    const auto& head = group.members.front();
    if (is_member_at(head, group, member_phase::broken) ||
        is_member_at(head, group, member_phase::ready)) {
        lose_member(now, group, "the head does not serve");
        return;
    }
    const auto outlook = sightings_.look(now, head);
    if (outlook.stands_still || outlook.refused) {
        look_at_members(now, group);
    }
    bool draining = false;
    for (const auto& member : group.members) {
        const auto health = health_of(now, group, member);
        if (health == member_health::lost) {
            lose_member(now, group, "member " + member.str() + " is lost");
            return;
        }
        draining = draining || health == member_health::draining;
        if (health == member_health::silent) {
            look(now, member);
        }
        const bool confirmed = outlook.stands_still && is_doubted(member, 1);
        const bool silent = health == member_health::silent && is_doubted(member, looks_to_doubt);
        if (confirmed || (silent && (outlook.stands_still || outlook.byte_age > idle_trust))) {
            lose_member(now, group, "member " + member.str() + " does not answer");
            return;
        }
    }
    if (draining) {
        enter(now, group, plan_phase::retiring, "a member leaves");
    }
}

void group_planner::watch_retiring(instant now, planned_group& group)
{
    for (const auto& member : group.members) {
        if (health_of(now, group, member) == member_health::lost) {
            lose_member(now, group, "member " + member.str() + " is lost");
            return;
        }
    }
    const auto outlook = sightings_.look(now, group.members.front());
    const bool idle = outlook.in_flight == 0 && now - group.since >= retire_shortest;
    if (idle || now - group.since >= options_.retire_limit) {
        enter(now, group, plan_phase::releasing, idle ? "it is idle" : "its time is up");
    }
}

void group_planner::lose_member(instant now, planned_group& group, const std::string& why)
{
    enter(now, group, plan_phase::releasing, why);
    release_head(now, group);
}

void group_planner::release_head(instant now, planned_group& group)
{
    const auto& head = group.members.front();
    const auto* record = registry_.find(head);
    if (record != nullptr && health_of(now, group, head) == member_health::lost) {
        finish(now, group, "the head has left");
        return;
    }
    if (record == nullptr || is_doubted(head, looks_to_doubt)) {
        enter(now, group, plan_phase::waiting, "the head does not answer");
        watch_waiting(now, group);
        return;
    }
    order(now, order_for(group, order_kind::leave, head));
    if (now - group.since > options_.order_retry) {
        look(now, head);
    }
}

void group_planner::watch_waiting(instant now, planned_group& group)
{
    const auto& head = group.members.front();
    const auto* record = registry_.find(head);
    if (record == nullptr || health_of(now, group, head) == member_health::lost) {
        finish(now, group, "the head is gone");
        return;
    }
    if (record->heard > group.since) {
        // Where no member has left, the group may have gone on behind a cut.
        const bool untouched = !group.left_at && !group.ordered_apart;
        enter(now, group, untouched ? plan_phase::serving : plan_phase::releasing,
              "the head is heard again");
        return;
    }
    ask_members(now, group);
    if (is_dark(now, group)) {
        finish_dark(now, group);
        return;
    }
    if (now - group.since >= check_patience && !group.left_at) {
        order_members_apart(now, group);
    }
    if (group.left_at && now - *group.left_at >= options_.stall + wait_margin) {
        finish(now, group, "the head has broken by now");
    }
}

void group_planner::order_members_apart(instant now, planned_group& group)
{
    for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
        const auto& member = group.members[rank];
        const auto health = health_of(now, group, member);
        if (health == member_health::present || health == member_health::draining) {
            group.ordered_apart = true;
            order(now, order_for(group, order_kind::leave, member));
        }
    }
}

void group_planner::ask_members(instant now, planned_group& group)
{
    for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
        const auto& member = group.members[rank];
        const auto* record = registry_.find(member);
        if (record == nullptr || group.spoken.contains(member)) {
            continue;
        }
        if (record->answered && *record->answered > group.since) {
            group.spoken.emplace(member, now);
        }
        else {
            look(now, member);
        }
    }
}

bool group_planner::is_dark(instant now, const planned_group& group) const
{
    // Members that are dark with their head may be with it behind a cut, where the group goes on.
    // So the head must have been tried after a member was heard: the way there was open then.
    instant since = group.since;
    for (const auto& [member, at] : group.spoken) {
        since = std::max(since, at);
    }
    return !group.spoken.empty() &&
           sightings_.is_unreachable_to_all(now, since, group.members.front());
}

void group_planner::finish_dark(instant now, planned_group& group)
{
    group.members.resize(1);
    for (const auto& [member, at] : group.spoken) {
        group.members.push_back(member);
    }
    finish(now, group, "nobody reaches the head");
}

std::vector<runner_id> group_planner::suspects() const
{
    std::vector<runner_id> out;
    for (const auto& [name, group] : groups_) {
        if (group.phase == plan_phase::waiting && !group.spoken.empty()) {
            out.push_back(group.members.front());
        }
    }
    return out;
}

void group_planner::finish(instant now, planned_group& group, const std::string& why)
{
    for (const auto& member : group.members) {
        const auto placed = placed_.find(member);
        if (placed != placed_.end() && placed->second == group.name) {
            placed_.erase(placed);
        }
        released_[{group.name, member}] = now;
    }
    finished_.insert(group.name);
    if (state_.groups().contains(group.name)) {
        record(fleet_state::end_group(group.name));
    }
    tell(group, "ended: " + why);
}

void group_planner::enter(instant now, planned_group& group, plan_phase phase,
                          const std::string& why)
{
    group.phase = phase;
    group.since = now;
    group.spoken.clear();
    tell(group, why);
}

void group_planner::tell(const planned_group& group, const std::string& why) const
{
    if (!on_event) {
        return;
    }
    planner_event event{group.name, group.phase, why, {}};
    for (const auto& member : group.members) {
        event.members += (event.members.empty() ? "" : ",") + member.str();
    }
    on_event(event);
}

std::string group_planner::summary(instant now) const
{
    std::string out;
    if (configuration_ == nullptr) {
        return out;
    }
    for (const auto& service : configuration_->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto& model : service.engine->models) {
            const auto serving =
                std::count_if(groups_.begin(), groups_.end(), [&](const auto& each) {
                    return each.second.model == model.name &&
                           each.second.phase == plan_phase::serving;
                });
            out += fmt::format("{}: {} serving of {} planned of {} wanted, pressure {:.2f}; ",
                               model.name.str(), serving, count_groups(model.name),
                               wanted_groups(now, service, model), pressure(now, service, model));
        }
    }
    std::size_t free = 0;
    for (const auto& [domain, runners] : free_runners(now)) {
        free += runners.size();
        const auto* service =
            configuration_->find_service(registry_.find(runners.front())->latest.service);
        out += fmt::format("{}: {} free", domain.str(), runners.size());
        for (const auto& model : service->engine->models) {
            out += fmt::format(", {} with {}", count_staged(runners, model.name), model.name.str());
        }
        out += "; ";
    }
    return out + fmt::format("{} joins loading, {} staging, {} free", joins_loading(),
                             staging_.size(), free);
}

// --- orders and looks ---------------------------------------------------------------------------

group_order group_planner::order_for(const planned_group& group, order_kind kind,
                                     const runner_id& to) const
{
    group_order out;
    out.kind = kind;
    out.to = to;
    const auto* record = registry_.find(to);
    if (record != nullptr) {
        out.address = record->latest.address;
    }
    out.group = group.name;
    out.assignment = group.assignment;
    out.fence = term_;
    return out;
}

void group_planner::order(instant now, const group_order& order)
{
    const auto key = order.to.str() + "/" + order.group.str() + "/" +
                     std::to_string(static_cast<int>(order.kind));
    const auto last = ordered_.find(key);
    if (last != ordered_.end() && now - last->second < options_.order_retry) {
        return;
    }
    ordered_[key] = now;
    steps_.push_back({planner_step::kind_t::order, order});
}

void group_planner::look(instant now, const runner_id& runner)
{
    const auto last = looked_.find(runner);
    const auto* record = registry_.find(runner);
    if (record == nullptr ||
        (last != looked_.end() && now - last->second < options_.look_interval)) {
        return;
    }
    looked_[runner] = now;
    planner_step step;
    step.kind = planner_step::kind_t::look;
    step.order.to = runner;
    step.order.address = record->latest.address;
    steps_.push_back(std::move(step));
}

void group_planner::on_look_failed(instant /*now*/, const runner_id& runner, bool refused)
{
    // A refusal comes at once, but from behind a cut as well: it is no proof of an end.
    unanswered_[runner] += refused ? looks_to_doubt : 1;
}

void group_planner::on_look_answered(const runner_id& runner)
{
    unanswered_.erase(runner);
}

void group_planner::on_order_result(instant now, const group_order& order, order_result result)
{
    const auto found = groups_.find(order.group);
    if (found == groups_.end() || order.assignment != found->second.assignment) {
        return;
    }
    auto& group = found->second;
    // Any other answer proves nothing: what the runner tells of itself will show where it is.
    if (order.kind == order_kind::leave && result == order_result::taken) {
        if (group.phase == plan_phase::releasing && order.to == group.members.front()) {
            finish(now, group, "the head has left");
            groups_.erase(found);
        }
        else if (group.phase == plan_phase::waiting && !group.left_at) {
            group.left_at = now;
        }
        return;
    }
    if (order.kind == order_kind::join && group.phase == plan_phase::joining &&
        result == order_result::fenced) {
        finish(now, group, "a member has seen a newer epoch");
        groups_.erase(found);
    }
}

} // namespace cedarpoint

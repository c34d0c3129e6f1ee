#include "cedarpoint/fleet/fleet_leader.h"

#include <iterator>
#include <utility>

namespace cedarpoint {
namespace {

constexpr duration forget_after = seconds{60};
constexpr duration follower_silence = milliseconds{2500};
constexpr duration resend_after = seconds{1};            ///< an update that was not confirmed
constexpr duration resend_after_gap = milliseconds{400}; ///< one that the follower misses
constexpr int heartbeats_to_lose = 3; ///< a plain runner that was not heard for so many is not used

wire::fleet_item runner_item(const runner_record& record)
{
    wire::fleet_item item;
    auto& out = *item.mutable_runner();
    out.set_id(record.latest.id.str());
    out.set_service(record.latest.service.str());
    out.set_address(record.latest.address.str());
    out.set_failure_domain(record.latest.failure_domain.str());
    out.set_slots(static_cast<std::uint32_t>(record.latest.slots));
    out.set_accepting(true);
    return item;
}

} // namespace

fleet_leader::fleet_leader(planner_options options, const platform_adapter& platform,
                           const fleet_state& state)
    : options_{options}, platform_{platform}, state_{state}, planner_{options, registry_,
                                                                      sightings_, state}
{
}

void fleet_leader::begin_term(instant now, std::uint64_t term)
{
    term_ = term;
    registry_.clear();
    sightings_.clear();
    followers_.clear();
    view_ = {};
    viewed_version_ = 0;
    records_.clear();
    expect_registered(now);
    planner_.begin_term(now, term);
    take_configuration();
}

void fleet_leader::expect_registered(instant now)
{
    std::map<runner_id, group_membership> memberships;
    for (const auto& [name, group] : state_.groups()) {
        for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
            memberships[group.members[rank]] = {
                name, group.assignment, rank, rank == 0 ? member_phase::open : member_phase::ready};
        }
    }
    for (const auto& [runner, registration] : state_.registrations()) {
        if (state_.is_gone(runner)) {
            continue;
        }
        announcement assumed;
        assumed.id = runner;
        assumed.service = registration.service;
        assumed.address = registration.address;
        assumed.failure_domain = registration.failure_domain;
        assumed.fabric_domain = registration.fabric_domain;
        assumed.slots = registration.slots;
        if (const auto found = memberships.find(runner); found != memberships.end()) {
            assumed.membership = found->second;
        }
        registry_.expect(now, std::move(assumed));
    }
}

void fleet_leader::take_configuration()
{
    if (configuration_ && configuration_->version >= state_.version()) {
        return;
    }
    if (state_.version() == 0) {
        return;
    }
    reason why;
    if (auto read = platform_.read_configuration(state_.document(), why)) {
        configuration_ = std::move(read);
        planner_.set_configuration(&*configuration_);
    }
}

std::vector<planner_step> fleet_leader::tick(instant now)
{
    take_configuration();
    auto steps = std::exchange(records_, {});
    for (const auto& runner : registry_.forget_silent(now, forget_after)) {
        steps.push_back({planner_step::kind_t::record, {}, fleet_state::remove_runner(runner)});
    }
    auto planned = planner_.tick(now);
    steps.insert(steps.end(), std::make_move_iterator(planned.begin()),
                 std::make_move_iterator(planned.end()));
    return steps;
}

bool fleet_leader::announce(instant now, const announcement& in)
{
    if (!registry_.announce(now, in)) {
        return false;
    }
    planner_.on_look_answered(in.id);
    if (!state_.registrations().contains(in.id)) {
        records_.push_back(
            {planner_step::kind_t::record,
             {},
             fleet_state::add_runner(
                 {in.id, in.service, in.address, in.failure_domain, in.fabric_domain, in.slots})});
    }
    return true;
}

void fleet_leader::on_look_answered(instant now, const runner_id& runner)
{
    registry_.note_alive(now, runner);
    planner_.on_look_answered(runner);
}

void fleet_leader::on_look_failed(instant now, const runner_id& runner, bool refused)
{
    planner_.on_look_failed(now, runner, refused);
}

void fleet_leader::on_other_runner(const runner_id& runner)
{
    registry_.note_dead(runner);
}

void fleet_leader::on_order_result(instant now, const group_order& order, order_result result)
{
    if (result == order_result::unreached) {
        planner_.on_look_failed(now, order.to, true);
    }
    if (result == order_result::refused) {
        registry_.note_dead(order.to);
    }
    planner_.on_order_result(now, order, result);
}

// --- the view -----------------------------------------------------------------------------------

bool fleet_leader::is_usable(instant now, const runner_record& record) const
{
    return registry_.is_present(record) && !record.latest.draining &&
           !state_.is_leaving(record.latest.id) &&
           now - record.heard < options_.heartbeat * heartbeats_to_lose;
}

void fleet_leader::add_outlook(instant now, const std::vector<runner_id>& peers,
                               std::map<std::string, wire::fleet_item>& items) const
{
    for (const auto& peer : peers) {
        const bool still = sightings_.look(now, peer).stands_still;
        items[runner_key(peer.str())].mutable_runner()->set_doubted(still);
    }
    for (const auto& [peer, slowness] : sightings_.paces().slow_among(now, peers)) {
        items[runner_key(peer.str())].mutable_runner()->set_slowness(slowness);
    }
}

void fleet_leader::add_plain_runners(instant now,
                                     std::map<std::string, wire::fleet_item>& items) const
{
    std::map<service_id, std::vector<runner_id>> peers;
    for (const auto& [runner, record] : registry_.records()) {
        const auto* service = configuration_->find_service(record.latest.service);
        const bool plain = service == nullptr || !service->engine;
        if (plain && is_usable(now, record)) {
            items[runner_key(runner.str())] = runner_item(record);
            peers[record.latest.service].push_back(runner);
        }
    }
    for (const auto& [service, runners] : peers) {
        add_outlook(now, runners, items);
    }
}

void fleet_leader::add_groups(instant now, std::map<std::string, wire::fleet_item>& items) const
{
    std::map<model_id, std::vector<runner_id>> peers;
    for (const auto& [name, group] : planner_.groups()) {
        const bool serves = group.phase == plan_phase::serving;
        if (!serves && group.phase != plan_phase::retiring) {
            continue;
        }
        const auto& head = group.members.front();
        const auto* record = registry_.find(head);
        if (record == nullptr) {
            continue;
        }
        const auto* service = configuration_->find_service(group.service);
        wire::fleet_item item;
        auto& out = *item.mutable_group();
        out.set_name(name.str());
        out.set_epoch(group.assignment.value);
        out.set_service(group.service.str());
        out.set_model(group.model.str());
        for (const auto& member : group.members) {
            out.add_members(member.str());
        }
        out.set_accepting(serves);
        items[group_key(name.str())] = std::move(item);
        auto head_item = runner_item(*record);
        if (service != nullptr && service->engine) {
            head_item.mutable_runner()->set_slots(
                static_cast<std::uint32_t>(service->engine->slots));
        }
        items[runner_key(head.str())] = std::move(head_item);
        peers[group.model].push_back(head);
    }
    for (const auto& [model, heads] : peers) {
        add_outlook(now, heads, items);
    }
}

void fleet_leader::refresh_view(instant now)
{
    if (!configuration_) {
        return;
    }
    if (state_.version() > viewed_version_) {
        viewed_version_ = state_.version();
        view_.set_configuration(state_.configuration());
    }
    std::map<std::string, wire::fleet_item> items;
    add_plain_runners(now, items);
    add_groups(now, items);
    view_.replace(items);
}

wire::fleet_update fleet_leader::make_update(instant now, std::uint64_t from) const
{
    auto out = view_.since(from);
    out.set_term(term_);
    out.set_leading(true);
    if (planner_.is_settled(now)) { // before that it has not heard them all
        out.set_followers(static_cast<std::uint32_t>(sightings_.followers(now)));
    }
    for (const auto& runner : planner_.suspects()) {
        if (const auto* record = registry_.find(runner); record != nullptr) {
            auto* suspect = out.add_suspects();
            suspect->set_runner(runner.str());
            suspect->set_address(record->latest.address.str());
        }
    }
    return out;
}

wire::fleet_update fleet_leader::on_follow(instant now, const std::string& name,
                                           const wire::fleet_follow& in)
{
    sightings_.put(now, name, in);
    auto& entry = followers_[name];
    entry.heard = now;
    const auto has = in.term() == term_ ? in.version() : 0;
    if (has > entry.confirmed || has == entry.sent) {
        entry.progress_at = now;
    }
    entry.confirmed = has;
    // What is on its way already is not sent again: a large view takes longer than a word's
    // interval.
    const auto patience = in.behind() ? resend_after_gap : resend_after;
    const bool under_way = has < entry.sent && now - entry.progress_at < patience;
    if (!under_way) {
        entry.progress_at = now;
    }
    auto out = make_update(now, under_way ? entry.sent : has);
    entry.sent = view_.version();
    for (const auto& [runner, count] : sightings_.loads_without(now, name)) {
        auto* load = out.add_loads();
        load->set_runner(runner.str());
        load->set_in_flight(static_cast<std::uint32_t>(count));
    }
    return out;
}

std::vector<std::pair<std::string, wire::fleet_update>> fleet_leader::pending_updates(instant now)
{
    std::vector<std::pair<std::string, wire::fleet_update>> out;
    for (auto& [name, entry] : followers_) {
        if (entry.sent >= view_.version()) {
            continue;
        }
        if (entry.sent == entry.confirmed) {
            entry.progress_at = now;
        }
        out.emplace_back(name, make_update(now, entry.sent));
        entry.sent = view_.version();
    }
    return out;
}

std::vector<std::string> fleet_leader::take_lost_followers(instant now)
{
    std::vector<std::string> out;
    std::erase_if(followers_, [&](const auto& each) {
        if (now - each.second.heard < follower_silence) {
            return false;
        }
        out.push_back(each.first);
        return true;
    });
    return out;
}

} // namespace cedarpoint

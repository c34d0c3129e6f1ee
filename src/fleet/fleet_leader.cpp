#include "cedarpoint/fleet/fleet_leader.h"

#include "cedarpoint/fleet/leader_recovery.h"
#include "cedarpoint/quarantine/crash_messages.h"

#include <iterator>
#include <utility>

namespace cedarpoint {
namespace {

/// A runner without a heartbeat or answer for this long is removed from the registry.
constexpr duration removal_timeout = seconds{60};

planner_step make_record(std::string command)
{
    planner_step out;
    out.kind = planner_step::kind_t::record;
    out.command = std::move(command);
    return out;
}

crash_histories seen_by(const daemon_id& follower, crash_histories in)
{
    for (auto& [cause, history] : in) {
        for (auto& crash : history.crashes) {
            crash.daemon = follower;
        }
    }
    return in;
}

} // namespace

fleet_leader::fleet_leader(planner_options options, const platform_adapter& platform,
                           const fleet_state& state)
    : platform_{platform}, state_{state}, planner_{options, registry_, reports_, state},
      view_builder_{options.heartbeat, registry_, reports_, state}
{
}

void fleet_leader::begin_term(instant now, std::uint64_t term)
{
    term_ = term;
    registry_.clear();
    reports_.clear();
    followers_.clear();
    rate_limits_.clear(term);
    quarantine_.clear();
    for (const auto& cause : state_.lifted()) {
        // Recorded again in each term, because entry daemons may still report crashes from before
        // the lifting.
        quarantine_.on_lifted(now, cause);
    }
    view_ = {};
    viewed_version_ = 0;
    records_.clear();
    drained_.clear();
    for (auto& runner : runners_in_log(state_)) {
        quarantine_.expect(runner.id, runner.born);
        registry_.add_assumed(now, std::move(runner));
    }
    planner_.begin_term(now, term);
    take_configuration();
}

void fleet_leader::take_configuration()
{
    const auto version = state_.version();
    if (version == 0 || version == installed_version_) {
        return;
    }
    reason why;
    if (auto read = read_stored_configuration(why)) {
        installed_version_ = version;
        configuration_ = std::move(read);
        planner_.set_configuration(configuration_.get());
    }
    else if (std::exchange(unreadable_version_, version) != version &&
             on_unreadable_configuration) {
        on_unreadable_configuration(version, why);
    }
}

std::shared_ptr<const fleet_configuration>
fleet_leader::read_configuration(const std::string& document, reason& why)
{
    if (auto known = recent_configurations_.find(document)) {
        return known;
    }
    auto read = platform_.read_configuration(document, why);
    if (!read) {
        return {};
    }
    auto out = std::make_shared<const fleet_configuration>(std::move(*read));
    recent_configurations_.add(document, out);
    return out;
}

std::shared_ptr<const fleet_configuration>
fleet_leader::read_stored_configuration(reason& why) const
{
    const auto document = state_.document();
    // What a call may contain is read the same way from the log.
    if (auto known = recent_configurations_.find(document)) {
        return known;
    }
    auto read = platform_.read_stored_configuration(document, why);
    return read ? std::make_shared<const fleet_configuration>(std::move(*read)) : nullptr;
}

std::vector<planner_step> fleet_leader::tick(instant now)
{
    take_configuration();
    auto steps = std::exchange(records_, {});
    for (const auto& runner : registry_.remove_silent(now, removal_timeout)) {
        steps.push_back(make_record(fleet_state::remove_runner(runner)));
        rate_limits_.forget(runner);
        reports_.forget(runner);
        quarantine_.forget(runner);
        drained_.erase(runner);
    }
    add_quarantines(now, steps);
    auto planned = planner_.tick(now);
    steps.insert(steps.end(), std::make_move_iterator(planned.begin()),
                 std::make_move_iterator(planned.end()));
    return steps;
}

void fleet_leader::add_quarantines(instant now, std::vector<planner_step>& steps)
{
    for (const auto& order : quarantine_.decide(now, state_.quarantined())) {
        wire::quarantined_request record;
        encode_cause(order.cause, record);
        for (const auto& crash : order.crashes) {
            *record.add_crashes() = encode_crash(now, crash);
        }
        steps.push_back(make_record(fleet_state::quarantine(record)));
        if (on_quarantine) {
            on_quarantine(now, order);
        }
    }
}

void fleet_leader::on_quarantine_lifted(instant now, const crash_cause& cause)
{
    quarantine_.on_lifted(now, cause);
}

bool fleet_leader::announce(instant now, const announcement& in)
{
    // A heartbeat that names an unconfigured service must not take the address of a runner in use.
    const auto earlier_owner = registry_.find_other_owner(in);
    if ((!is_configured(in.service) && earlier_owner) || contradicts_service(in) ||
        !registry_.announce(now, in)) {
        return false;
    }
    note_incarnation(now, in, earlier_owner);
    planner_.on_alive(in.id);
    const auto registered = state_.registrations().find(in.id);
    const bool is_new = registered == state_.registrations().end();
    if (!is_new && in.born > registered->second.born) {
        planner_.on_new_incarnation(in.id);
    }
    if (is_new || in.born > registered->second.born) {
        records_.push_back(make_record(
            fleet_state::add_runner({in.id, in.service, in.address, in.failure_domain,
                                     in.fabric_domain, in.slots, model_id{}, in.born})));
    }
    return true;
}

bool fleet_leader::is_configured(const service_id& service) const
{
    return !configuration_ || configuration_->find_service(service) != nullptr;
}

bool fleet_leader::contradicts_service(const announcement& in) const
{
    const auto* record = registry_.find(in.id);
    if (record == nullptr || record->latest.service == in.service ||
        !is_configured(record->latest.service)) {
        return false;
    }
    return !is_configured(in.service) || in.born <= record->latest.born;
}

void fleet_leader::note_incarnation(instant now, const announcement& in,
                                    const std::optional<runner_id>& earlier_owner)
{
    report_crashes(now, quarantine_.on_heartbeat(now, in.id, in.born));
    if (const auto* earlier = earlier_owner ? registry_.find(*earlier_owner) : nullptr;
        earlier != nullptr && earlier->superseded) {
        report_crashes(now, quarantine_.on_replaced(now, *earlier_owner));
    }
}

void fleet_leader::on_probe_answered(instant now, const runner_id& runner,
                                     const std::optional<probe_report>& report)
{
    registry_.note_alive(now, runner);
    planner_.on_alive(runner);
    if (report) {
        planner_.on_report(now, runner, *report);
    }
}

void fleet_leader::on_probe_failed(const runner_id& runner, bool refused)
{
    planner_.on_probe_failed(runner, refused);
}

void fleet_leader::on_other_runner_answered(const runner_id& runner)
{
    registry_.note_dead(runner);
}

void fleet_leader::on_runner_leaving(const runner_id& runner, incarnation its_incarnation)
{
    const auto* record = registry_.find(runner);
    if (record == nullptr || state_.is_leaving(runner)) {
        return;
    }
    const auto departed_incarnation =
        its_incarnation == incarnation{} ? record->latest.born : its_incarnation;
    if (departed_incarnation < record->latest.born) {
        return; // the answer came from an earlier incarnation
    }
    const auto [found, is_first] = drained_.try_emplace(runner, departed_incarnation);
    if (!is_first && std::exchange(found->second, departed_incarnation) == departed_incarnation) {
        return;
    }
    records_.push_back(make_record(fleet_state::depart(runner, false, departed_incarnation)));
    if (on_leave_signal) {
        on_leave_signal(runner);
    }
}

void fleet_leader::on_order_result(instant now, const group_order& order, order_result result)
{
    if (result == order_result::unreached) {
        planner_.on_probe_failed(order.to, true);
    }
    if (result == order_result::refused) {
        registry_.note_dead(order.to);
    }
    planner_.on_order_result(now, order, result);
}

// --- the view -----------------------------------------------------------------------------------

void fleet_leader::refresh_view(instant now)
{
    if (!configuration_) {
        return;
    }
    if (state_.version() != viewed_version_) {
        viewed_version_ = state_.version();
        view_.set_configuration(state_.configuration());
    }
    auto content = view_builder_.build(now, *configuration_, planner_.groups());
    content.crashes = quarantine_.counts(state_.quarantined(), state_.lifted());
    view_.replace(encode(content));
}

wire::fleet_update fleet_leader::make_update(instant now, std::uint64_t from) const
{
    auto out = view_.since(from);
    out.set_term(term_);
    out.set_leading(true);
    if (planner_.is_settled(now)) { // before that, not all followers have reported
        out.set_followers(static_cast<std::uint32_t>(reports_.count_followers(now)));
    }
    for (const auto& runner : planner_.suspects()) {
        if (const auto* record = registry_.find(runner); record != nullptr) {
            auto* each = out.add_suspects();
            each->set_runner(runner.str());
            each->set_address(record->latest.address.str());
        }
    }
    return out;
}

wire::fleet_update fleet_leader::on_follow(instant now, const daemon_id& follower,
                                           const wire::fleet_follow& in)
{
    auto report = decode_report(in);
    reports_.put(now, follower, report);
    take_rate_limits(now, follower, std::move(report.rate_limits));
    for (const auto& [runner, its_incarnation] : report.leaving) {
        on_runner_leaving(runner, its_incarnation);
    }
    const auto made_at = clocks_.sent_at(now, follower, in.stamp_us());
    take_crashes(now, follower, decode_crashes(made_at, in.suspected()));
    report_crashes(now,
                   quarantine_.on_cuts(now, seen_by(follower, decode_crashes(made_at, in.cuts()))));
    const auto confirmed = in.term() == term_ ? in.version() : 0;
    const auto from = followers_.on_report(now, follower, confirmed, in.behind(), view_.version());
    auto out = make_update(now, from);
    encode_loads(reports_.loads_excluding(now, follower), out);
    out.set_stamp_us(in.stamp_us());
    encode_grants(rate_limits_.take_grants(now, follower), out);
    return out;
}

void fleet_leader::take_rate_limits(instant now, const daemon_id& follower,
                                    rate_limit_observations in)
{
    // Reports on runners that are no longer in the registry are dropped, because nothing would ever
    // remove them.
    std::erase_if(in, [&](const auto& each) { return registry_.find(each.first) == nullptr; });
    rate_limits_.on_report(now, follower, in);
}

void fleet_leader::take_crashes(instant now, const daemon_id& follower, crash_histories in)
{
    const auto reported = seen_by(follower, std::move(in));
    quarantine_.on_report(reported);
    report_crashes(now, reported);
}

void fleet_leader::report_crashes(instant now, const crash_histories& reported) const
{
    for (const auto& [cause, history] : reported) {
        if (const auto* known = quarantine_.find(cause); on_crashes && known != nullptr) {
            on_crashes(now, cause, *known);
        }
    }
}

std::vector<fleet_leader::addressed_update> fleet_leader::pending_updates(instant now)
{
    std::vector<addressed_update> out;
    for (const auto& [follower, from] : followers_.take_pending(now, view_.version())) {
        out.emplace_back(follower, make_update(now, from));
    }
    return out;
}

std::vector<daemon_id> fleet_leader::take_lost_followers(instant now)
{
    auto out = followers_.take_lost(now);
    for (const auto& each : out) {
        clocks_.forget(each);
    }
    return out;
}

} // namespace cedarpoint

#include "fleet/planner_world.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace cedarpoint::testing_support {
namespace {

constexpr duration step_interval = milliseconds{20};
constexpr duration heartbeat_interval = milliseconds{1200};
constexpr duration drain_time = seconds{1};
/// Age of the state that a report shows.
constexpr duration report_lag = milliseconds{200};
/// Most requests that entry daemons have in flight at a group, which has 26 slots.
constexpr int max_in_flight = 29;

} // namespace

std::string two_model_document(std::uint64_t version)
{
    return fmt::format(R"({{"version":{},"routes":[{{"name":"r","host":"h.example",
        "pathPrefix":"/a/","kind":"streaming","timeoutMs":5000,"service":"pool"}}],
        "services":[{{"name":"pool","engine":{{"slots":26,"loadsPerS":4.5,"loads_at_once":6,
        "formMs":300,"models":[{{"name":"large","size":4,"share":0.5,"loadS":16,"warmS":1.6}},
        {{"name":"small","size":3,"share":0.5,"loadS":12,"warmS":1.1}}]}}}}]}})",
                       version);
}

std::string join_lines(const std::vector<std::string>& lines)
{
    std::string out;
    for (const auto& line : lines) {
        out += line + "\n";
    }
    return out;
}

planner_world::planner_world(options options) : options_{std::move(options)}, random_{options_.seed}
{
    const auto document = options_.document.empty() ? two_model_document(1) : options_.document;
    state_.apply(fleet_state::put_configuration(1, document));
    change_leader();
}

void planner_world::change_leader()
{
    planner_options group_options;
    group_options.heartbeat = heartbeat_interval;
    leader_.emplace(group_options, installed_platform(), state_);
    leader_->set_event_handler([this](const plan_event& event) {
        const bool converts =
            event.phase == plan_phase::retiring && event.reason.starts_with("makes room");
        if (converts) {
            converted_.emplace(event.group, now_);
        }
    });
    leader_->begin_term(now_, ++term_);
}

void planner_world::add_runners(const std::string& domain, int count)
{
    for (int n = 0; n < count; ++n) {
        const auto id = fmt::format("i-{:03}", ++runners_added_);
        fake_runner next;
        next.announced.id = runner_id{id};
        next.announced.service = service_id{"pool"};
        next.announced.address = *endpoint::parse(fmt::format("10.0.0.{}:80", runners_added_));
        next.announced.failure_domain = failure_domain_id{"zone-" + domain.substr(0, 1)};
        next.announced.fabric_domain = fabric_domain_id{domain};
        next.next_heartbeat = now_ + milliseconds{17 * (runners_added_ % 60)};
        runners_.emplace(runner_id{id}, std::move(next));
    }
}

std::string planner_world::member_list_key(const group_id& group, std::uint64_t epoch_value)
{
    return group.str() + "@" + std::to_string(epoch_value);
}

fake_runner* planner_world::find(const runner_id& runner)
{
    const auto found = runners_.find(runner);
    return found == runners_.end() ? nullptr : &found->second;
}

void planner_world::kill(const runner_id& runner)
{
    find(runner)->alive = false;
}

void planner_world::set_partitioned(const runner_id& runner, bool partitioned)
{
    find(runner)->partitioned = partitioned;
}

void planner_world::drain(const runner_id& runner)
{
    find(runner)->announced.draining = true;
    find(runner)->next_heartbeat = now_;
}

void planner_world::restart(const runner_id& runner, duration heartbeat_delay)
{
    auto& it = *find(runner);
    announcement next = it.announced;
    next.born = incarnation{next.born.value + 1};
    next.draining = false;
    next.sequence = 0;
    next.models.clear();
    next.membership.reset();
    auto ready_epochs =
        std::move(it.ready_epochs); // a member that was ready and is lost is excused
    it = {};
    it.ready_epochs = std::move(ready_epochs);
    it.announced = std::move(next);
    it.next_heartbeat = now_ + heartbeat_delay;
}

void planner_world::run(duration time)
{
    for (const auto end = now_ + time; now_ < end;) {
        now_ += step_interval;
        step();
    }
}

void planner_world::step_runners_for(duration time)
{
    for (const auto end = now_ + time; now_ < end;) {
        now_ += step_interval;
        step_runners();
    }
}

void planner_world::suspend_control(duration time)
{
    constexpr duration lease = milliseconds{500};
    suspended_ = true;
    for (const auto end = now_ + time; now_ < end;) {
        now_ += step_interval;
        step_runners();
        send_heartbeats();
    }
    suspended_ = false;
    if (time >= lease) {
        change_leader();
    }
    for (const auto& announced : std::exchange(queued_heartbeats_, {})) {
        leader_->announce(now_, announced);
    }
}

void planner_world::step()
{
    step_runners();
    send_heartbeats();
    send_report();
    for (const auto& next : leader_->tick(now_)) {
        execute(next);
    }
    leader_->refresh_view(now_);
}

void planner_world::step_runners()
{
    for (auto& [id, runner] : runners_) {
        note_state(runner);
        auto& membership = runner.announced.membership;
        if (!runner.alive || !membership) {
            continue;
        }
        if (membership->phase == member_phase::joining && now_ >= runner.ready_at) {
            membership->phase = member_phase::ready;
            runner.ready_epochs[membership->assignment.value] = true;
            runner.next_heartbeat = now_;
        }
        if (runner.opening && now_ >= runner.open_at) {
            runner.opening = false;
            membership->phase = member_phase::open;
            runner.next_heartbeat = now_;
        }
    }
    for (std::size_t n = 0; n < late_orders_.size();) {
        if (late_orders_[n].at <= now_) {
            const auto order = late_orders_[n].order;
            late_orders_.erase(late_orders_.begin() + static_cast<std::ptrdiff_t>(n));
            carry_out(order);
        }
        else {
            ++n;
        }
    }
}

void planner_world::note_state(fake_runner& runner) const
{
    runner.reports.emplace_back(now_,
                                probe_report{runner.announced.born, order_count{runner.orders},
                                             runner.announced.membership});
    while (runner.reports.size() > 1 && now_ - runner.reports[1].first >= report_lag) {
        runner.reports.pop_front();
    }
}

void planner_world::set_unreachable(const runner_id& runner, bool unreachable)
{
    set_partitioned(runner, unreachable);
    runners_.at(runner).unreachable = unreachable;
}

void planner_world::deliver_late_heartbeat(const runner_id& runner)
{
    auto& announced = runners_.at(runner).announced;
    ++announced.sequence;
    leader_->announce(now_, announced);
}

void planner_world::deliver_others_heartbeat(const runner_id& runner, const service_id& service)
{
    auto& announced = runners_.at(runner).announced;
    ++announced.sequence;
    auto other = announced;
    other.service = service;
    leader_->announce(now_, other);
}

void planner_world::repeat_join(const runner_id& runner, duration delay)
{
    late_orders_.push_back({now_ + delay, latest_joins_.at(runner)});
}

bool planner_world::repeat_join(const runner_id& runner)
{
    return carry_out(latest_joins_.at(runner)) == order_result::taken;
}

void planner_world::hold_back_heartbeat(const runner_id& runner)
{
    auto& announced = runners_.at(runner).announced;
    ++announced.sequence;
    held_back_heartbeats_[runner] = announced;
}

void planner_world::deliver_held_back(const runner_id& runner)
{
    leader_->announce(now_, held_back_heartbeats_.at(runner));
}

void planner_world::deliver_all_held_back()
{
    for (const auto& [runner, announced] : held_back_heartbeats_) {
        if (runners_.at(runner).alive) {
            leader_->announce(now_, announced);
        }
    }
}

void planner_world::send_heartbeats()
{
    for (auto& [id, runner] : runners_) {
        if (runner.alive && !runner.partitioned && now_ >= runner.next_heartbeat) {
            ++runner.announced.sequence;
            runner.next_heartbeat = now_ + heartbeat_interval;
            if (suspended_) {
                queued_heartbeats_.push_back(runner.announced);
            }
            else {
                leader_->announce(now_, runner.announced);
            }
        }
    }
}

bool planner_world::makes_progress(const fake_runner& head) const
{
    const auto& membership = *head.announced.membership;
    const auto list =
        member_lists_.find(member_list_key(membership.group, membership.assignment.value));
    return list != member_lists_.end() &&
           std::all_of(list->second.begin(), list->second.end(), [&](const runner_id& member) {
               const auto& runner = runners_.at(member);
               return runner.alive && runner.announced.membership &&
                      runner.announced.membership->group == membership.group;
           });
}

int planner_world::in_flight_at(const fake_runner& head) const
{
    // Entry daemons send no new requests to a group that is retired for another model.
    const auto converted = converted_.find(head.announced.membership->group);
    if (converted != converted_.end() && now_ - converted->second > drain_time) {
        return 0;
    }
    const auto found = work.find(head.announced.models.front().str());
    if (found == work.end()) {
        return in_flight;
    }
    const auto groups = std::max<std::size_t>(serving_groups(found->first), 1);
    return std::min(found->second / static_cast<int>(groups), max_in_flight);
}

void planner_world::send_report()
{
    wire::fleet_follow report;
    report.set_term(term_);
    report.set_failure_domain("zone-a");
    auto* demand = report.add_demand();
    demand->set_model("large");
    demand->set_started(now_ > first_request_time() ? 1 : 0);
    for (const auto& [id, runner] : runners_) {
        const auto& membership = runner.announced.membership;
        const bool open = membership && membership->phase == member_phase::open;
        if (open && in_flight_at(runner) > 0) {
            const bool progresses = runner.alive && !runner.unreachable && makes_progress(runner);
            auto* seen = report.add_sightings();
            seen->set_runner(id.str());
            seen->set_in_flight(static_cast<std::uint32_t>(in_flight_at(runner)));
            seen->set_silent_ms(progresses ? 10 : 500);
            seen->set_byte_ms(progresses ? 10 : 500);
        }
        if (!runner.alive || runner.unreachable) {
            auto* check = report.add_checks();
            check->set_runner(id.str());
            check->set_reachable(false);
        }
    }
    leader_->on_follow(now_, daemon_id{"entry-1"}, report);
}

} // namespace cedarpoint::testing_support

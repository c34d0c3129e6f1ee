#include "fleet/planner_world.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint::testing_support {
namespace {

constexpr duration step_interval = milliseconds{20};
constexpr duration heartbeat_interval = milliseconds{1200};
/// Loads that begin before the first request take a tenth of their time.
constexpr instant first_request{seconds{1008}};
constexpr duration drain_time = seconds{1};
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

planner_world::planner_world(options options) : options_{options}, random_{options.seed}
{
    state_.apply(fleet_state::put_configuration(1, two_model_document(1)));
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

void planner_world::run(duration time)
{
    for (const auto end = now_ + time; now_ < end;) {
        now_ += step_interval;
        step();
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

void planner_world::repeat_join(const runner_id& runner, duration delay)
{
    late_orders_.push_back({now_ + delay, latest_joins_.at(runner)});
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
    demand->set_started(now_ > first_request ? 1 : 0);
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

void planner_world::execute(const planner_step& step)
{
    if (step.kind == planner_step::kind_t::record) {
        state_.apply(step.command);
        return;
    }
    auto* runner = find(step.order.to);
    const bool reached = runner != nullptr && runner->alive && !runner->partitioned;
    if (step.kind == planner_step::kind_t::probe) {
        if (reached) {
            leader_->on_probe_answered(now_, step.order.to);
        }
        else {
            leader_->on_probe_failed(step.order.to, false);
        }
        return;
    }
    std::uniform_real_distribution<double> draw(0, 1);
    if (!reached) {
        leader_->on_order_result(now_, step.order, order_result::unknown);
    }
    else if (draw(random_) < options_.late_order_fraction) {
        std::uniform_int_distribution<int> delay(2000, 12'000);
        late_orders_.push_back({now_ + milliseconds{delay(random_)}, step.order});
        leader_->on_order_result(now_, step.order, order_result::unknown);
    }
    else {
        const auto result = carry_out(step.order);
        leader_->on_order_result(now_, step.order, lose_answers ? order_result::unknown : result);
    }
}

order_result planner_world::carry_out(const group_order& order)
{
    auto* runner = find(order.to);
    if (runner == nullptr || !runner->alive) {
        return order_result::unknown;
    }
    if (options_.check_fences && order.fence < runner->highest_fence) {
        return order_result::fenced;
    }
    runner->highest_fence = std::max(runner->highest_fence, order.fence);
    if (order.kind == order_kind::stage) {
        runner->announced.staged = {order.model};
        return order_result::taken;
    }
    if (order.kind == order_kind::join) {
        return join(*runner, order);
    }
    auto& membership = runner->announced.membership;
    const bool is_member = membership && membership->group == order.group &&
                           membership->assignment == order.assignment;
    if (!is_member) {
        return order_result::unfit;
    }
    runner->next_heartbeat = now_;
    if (order.kind == order_kind::leave) {
        membership.reset();
        runner->announced.models.clear();
        runner->opening = false;
        return order_result::taken;
    }
    if (membership->phase != member_phase::ready) {
        return membership->phase == member_phase::open ? order_result::taken : order_result::unfit;
    }
    check_open(*runner, order);
    runner->opening = true;
    runner->open_at = now_ + milliseconds{300};
    return order_result::taken;
}

order_result planner_world::join(fake_runner& runner, const group_order& order)
{
    if (order.assignment.value < runner.highest_epoch) {
        return order_result::fenced;
    }
    auto& membership = runner.announced.membership;
    if (membership && membership->group == order.group &&
        membership->assignment == order.assignment) {
        return order_result::taken;
    }
    check_join(order);
    latest_joins_[order.to] = order;
    member_lists_[member_list_key(order.group, order.assignment.value)] = order.members;
    runner.highest_epoch = order.assignment.value;
    group_membership next;
    next.group = order.group;
    next.assignment = order.assignment;
    next.rank = static_cast<std::size_t>(
        std::find(order.members.begin(), order.members.end(), order.to) - order.members.begin());
    membership = next;
    runner.opening = false;
    runner.ready_at = now_ + load_weights(runner, order.model);
    runner.announced.models = {order.model};
    runner.next_heartbeat = now_;
    return order_result::taken;
}

duration planner_world::load_weights(fake_runner& runner, const model_id& model) const
{
    const bool loaded = runner.loaded == model;
    runner.loaded = model;
    if (loaded) {
        return milliseconds{200};
    }
    auto& staged = runner.announced.staged;
    if (std::find(staged.begin(), staged.end(), model) != staged.end()) {
        return milliseconds{1600};
    }
    staged = {model};
    const bool fast = options_.fast_weight_loads || now_ < first_request;
    return fast ? milliseconds{1600} : milliseconds{16'000};
}

void planner_world::check_join(const group_order& order)
{
    for (const auto& [id, head] : runners_) {
        const auto& membership = head.announced.membership;
        const bool serves = head.alive && membership && membership->rank == 0 &&
                            (membership->phase == member_phase::open || head.opening);
        if (!serves || membership->group == order.group) {
            continue;
        }
        const auto& members =
            member_lists_[member_list_key(membership->group, membership->assignment.value)];
        const auto& current = find(order.to)->announced.membership;
        const bool belongs = current && current->group == membership->group &&
                             std::find(members.begin(), members.end(), order.to) != members.end();
        if (belongs) {
            violations_.push_back(fmt::format("{} joined {} while {} is open", order.to.str(),
                                              order.group.str(), membership->group.str()));
        }
    }
}

void planner_world::check_open(const fake_runner& head, const group_order& order)
{
    const auto& members = member_lists_[member_list_key(order.group, order.assignment.value)];
    for (const auto& member : members) {
        if (!runners_.at(member).ready_epochs.contains(order.assignment.value)) {
            violations_.push_back(fmt::format("{} opened before {} was ready",
                                              head.announced.id.str(), member.str()));
        }
    }
}

} // namespace cedarpoint::testing_support

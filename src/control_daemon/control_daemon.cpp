#include "control_daemon/control_daemon.h"

#include "io/clock.h"
#include "io/log_line.h"

#include <map>
#include <string>
#include <utility>

namespace cedarpoint {
namespace {

/// Time between two refreshes of the view. A commit refreshes it at once.
constexpr duration refresh_interval = milliseconds{40};
/// Time between two summaries of the plan in the log and in the metrics.
constexpr duration summary_interval = seconds{1};
/// Exit code after a failure of the replicated log's storage; see docs/OPERATIONS.md.
constexpr int disk_failure_exit_code = 5;

} // namespace

bool control_daemon::leads(instant now) const
{
    return log_->raft().is_leader() && log_->raft().holds_lease(now);
}

bool control_daemon::has_begun_to_lead(instant now) const
{
    return leads(now) && led_term_ == log_->raft().term();
}

bool control_daemon::is_ready(instant now) const
{
    return !stopping_ && (leads(now) || !log_->raft().leader().empty());
}

std::optional<endpoint> control_daemon::leader_api() const
{
    const auto& leader = log_->raft().leader().str();
    const auto address = endpoint::parse(leader);
    if (!address || leader == id_.str()) {
        return {};
    }
    return endpoint{address->ip, settings_.control->port}; // all control daemons use the same port
}

void control_daemon::tick()
{
    loop_.end_part(steady_now(), loop_part::between_ticks);
    mesh_.drain();
    loop_.end_part(steady_now(), loop_part::messages);
    log_->tick(steady_now());
    // Read the clock again: a slow disk may have blocked the log for longer than a lease.
    const auto now = steady_now();
    loop_.end_part(now, loop_part::log);
    disk_.note(log_->write_failure());
    metrics_.set_disk_refuses(disk_.refuses());
    if (!check_log()) {
        return;
    }
    track_leader();
    membership_->tick(now, leads(now));
    metrics_.set_leader(leads(now));
    metrics_.set_version(static_cast<double>(state_.version()));
    if (leads(now)) {
        tick_leader(now);
    }
    else {
        orders_->cancel_all();
    }
    if (now >= next_summary_) {
        next_summary_ = now + summary_interval;
        summarize(now);
    }
    loop_.end_part(steady_now(), loop_part::summary);
    mesh_.drain();
    loop_.end_part(steady_now(), loop_part::messages);
    log_slow_turn(steady_now());
}

void control_daemon::log_slow_turn(instant now)
{
    if (const auto turn = loop_.end_turn(now)) {
        log_line("slow_loop")
            .with("ms", to_ms(turn->total))
            .with("between_ticks_ms", to_ms(turn->of(loop_part::between_ticks)))
            .with("messages_ms", to_ms(turn->of(loop_part::messages)))
            .with("log_ms", to_ms(turn->of(loop_part::log)))
            .with("plan_ms", to_ms(turn->of(loop_part::plan)))
            .with("view_ms", to_ms(turn->of(loop_part::view)))
            .with("summary_ms", to_ms(turn->of(loop_part::summary)))
            .with("leading", leads(now))
            .write();
    }
}

bool control_daemon::check_log()
{
    const auto& failure = log_->failure();
    if (!failure) {
        return true;
    }
    log_line("disk_failed").with("reason", failure->str()).write();
    timer_.stop();
    on_stopped(disk_failure_exit_code);
    return false;
}

void control_daemon::track_leader()
{
    const daemon_id leader{log_->raft().leader().str()};
    if (leader.empty()) {
        const auto now = steady_now();
        elections_.write_if_due(now, log_->raft().elections(now));
    }
    else {
        elections_.on_leader();
    }
    if (leader == known_leader_) {
        return;
    }
    log_line(leader.empty() ? "dependency_lost" : "dependency_regained")
        .with("kind", "leader")
        .with("peer", leader.empty() ? known_leader_.str() : leader.str())
        .with("term", log_->raft().term())
        .write();
    known_leader_ = leader;
}

void control_daemon::tick_leader(instant now)
{
    const auto term = log_->raft().term();
    if (led_term_ != term) {
        led_term_ = term;
        leader_.begin_term(now, term);
        log_line("leading").with("term", term).with("version", state_.version()).write();
    }
    for (const auto& step : leader_.tick(now)) {
        execute(now, step);
    }
    drop_lost_followers(now);
    loop_.end_part(steady_now(), loop_part::plan);
    // A write of a step may have taken longer than the lease.
    if (now >= next_refresh_ && leads(now)) {
        push_view(now);
    }
    loop_.end_part(steady_now(), loop_part::view);
}

void control_daemon::execute(instant now, const planner_step& step)
{
    if (step.kind == planner_step::kind_t::record) {
        log_->propose(now, step.command, {});
    }
    else {
        orders_->execute_step(step);
    }
}

void control_daemon::drop_lost_followers(instant now)
{
    for (const auto& follower : leader_.take_lost_followers(now)) {
        log_line("dependency_lost")
            .with("kind", "entry daemon")
            .with("peer", follower.str())
            .write();
        mesh_.remove_peer(follower);
    }
}

void control_daemon::push_view(instant now)
{
    next_refresh_ = now + refresh_interval;
    leader_.refresh_view(now);
    for (auto& [follower, update] : leader_.pending_updates(now)) {
        wire::envelope out;
        *out.mutable_update() = std::move(update);
        if (!send(follower, std::move(out))) {
            leader_.on_update_dropped(follower);
        }
    }
}

void control_daemon::summarize(instant now)
{
    const bool leading = leads(now);
    std::map<plan_phase, double> groups;
    for (const auto phase : plan_phases) {
        groups[phase] = 0; // reported for phases without groups, and for all while not leading
    }
    if (leading) {
        for (const auto& [name, group] : leader_.planner().groups()) {
            ++groups[group.phase];
        }
        log_line("plan")
            .with("term", led_term_)
            .with("state", leader_.planner().summary(now))
            .write();
    }
    for (const auto& [phase, count] : groups) {
        metrics_.set_groups(std::string{name_of(phase)}, count);
    }
}

// --- messages of other daemons, answers of runners ----------------------------------------------

bool control_daemon::send(const daemon_id& to, wire::envelope out)
{
    out.set_from(id_.str());
    out.set_from_member(id_.str());
    mesh_.add_peer(to);
    return mesh_.send(to, out);
}

void control_daemon::receive(const wire::envelope& in)
{
    const auto now = steady_now();
    if (log_ == nullptr) {
        return; // start-up has not finished
    }
    if (in.has_join()) {
        membership_->on_join(now, leads(now), in);
    }
    else if (in.has_raft()) {
        log_->receive(now, member_id{in.from_member()}, in.raft().message());
    }
    else if (in.has_follow()) {
        on_follow(now, in);
    }
}

void control_daemon::on_follow(instant now, const wire::envelope& in)
{
    const daemon_id follower{in.from()};
    wire::envelope out;
    auto& update = *out.mutable_update();
    const auto& raft = log_->raft();
    if (has_begun_to_lead(now)) {
        update = leader_.on_follow(now, follower, in.follow());
    }
    else {
        update.set_leader(raft.leader().str());
    }
    for (const auto& member : raft.members().members()) {
        update.add_voters(member.id());
    }
    const bool leading = update.leading();
    if (!send(follower, std::move(out)) && leading) {
        leader_.on_update_dropped(follower);
    }
}

void control_daemon::on_order_end(const group_order& order, order_result result)
{
    const auto kind = name_of(order.kind);
    metrics_.count_order(std::string{kind}, std::string{name_of(result)});
    log_line("order")
        .with("kind", kind)
        .with("model", order.model.str())
        .with("runner", order.to.str())
        .with("group", order.group.str())
        .with("epoch", order.assignment.value)
        .with("fence", order.fence)
        .with("condition", order.condition ? std::to_string(order.condition->value) : "")
        .with("result", name_of(result))
        .write();
    leader_.on_order_result(steady_now(), order, result);
}

void control_daemon::on_probe_failed(const runner_id& runner, probe_failure how)
{
    // The event keeps the name that it had before probes were called so: operators search for it.
    log_line("look_failed").with("runner", runner.str()).with("how", name_of(how)).write();
    if (how == probe_failure::other_runner) {
        leader_.on_other_runner_answered(runner);
    }
    else {
        leader_.on_probe_failed(runner, how == probe_failure::refused);
    }
}

} // namespace cedarpoint

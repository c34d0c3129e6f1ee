#include "control_daemon/control_daemon.h"

#include "io/clock.h"
#include "io/log_line.h"
#include "io/simple_listeners.h"

#include <map>
#include <random>
#include <string>
#include <utility>

namespace cedarpoint {
namespace {

/// Time between two ticks. Not measured.
constexpr int tick_ms = 20;
/// Time between two refreshes of the view while nothing pushes it sooner. Not measured.
constexpr duration refresh_interval = milliseconds{40};
/// Time between two lines that sum up the plan, and two updates of the metrics on it.
constexpr duration summary_interval = seconds{1};
/// A leader is elected 0.5 to 1 s after the old one fell silent: the round "elections within 0.5 to
/// 1 s" (Potting Shed 0.855 -> 0.869), after a day without a leader for 2.2 s (inc-a6e6).
constexpr duration election_timeout = milliseconds{500};
/// Between two heartbeats of the log's leader; of the same round.
constexpr duration raft_heartbeat = milliseconds{100};
/// The process's exit code once its state can't be made durable: docs/OPERATIONS.md.
constexpr int disk_failed_exit = 5;
/// Connections of operators and runners at a time. Not measured.
constexpr std::size_t most_api_connections = 1500;
/// Of a declarative document; the largest seen has 260 KB with 900 routes.
constexpr std::size_t most_api_body = 16 << 20;
/// The log's folder, and its name in messages.
constexpr const char* log_name = "fleet";

caller_limits api_limits()
{
    caller_limits out;
    out.max_connections = most_api_connections;
    out.max_body_bytes = most_api_body;
    return out;
}

planner_options planner_options_of(const fleet_settings& own)
{
    planner_options out;
    out.heartbeat = own.heartbeat;
    out.stall = own.stall;
    // Every runner has sent a heartbeat by then, and half an interval is left for its way.
    out.settle = own.heartbeat * 3 / 2;
    return out;
}

/// The ids of the daemons at the seeds: all daemons use the same port for each other.
std::vector<daemon_id> seed_daemons(const fleet_settings& own)
{
    std::vector<daemon_id> out;
    for (const auto& seed : own.seeds) {
        out.emplace_back(endpoint{seed.ip, own.address.port}.str());
    }
    return out;
}

void log_group(const plan_event& event)
{
    log_line("placement")
        .with("group", event.group.str())
        .with("phase", name_of(event.phase))
        .with("reason", event.reason)
        .with("members", event.members)
        .write();
}

void log_unreadable(std::uint64_t version, const reason& why)
{
    log_line("configuration_unreadable").with("version", version).with("reason", why.str()).write();
}

} // namespace

control_daemon::control_daemon(fleet_settings own)
    : own_{std::move(own)}, id_{own_.address.str()}, platform_{installed_platform()},
      leader_{planner_options_of(own_), platform_, state_}, provisional_views_{platform_, state_},
      mesh_{[this](const wire::envelope& in) { receive(in); }}
{
    leader_.set_event_handler(log_group);
    leader_.on_unreadable_configuration = log_unreadable;
}

control_daemon::~control_daemon() = default;

// --- start and stop -----------------------------------------------------------------------------

std::unique_ptr<control_daemon> control_daemon::start(fleet_settings own, reason& why)
{
    std::unique_ptr<control_daemon> out{new control_daemon{std::move(own)}};
    if (!out->open(why)) {
        return {};
    }
    return out;
}

bool control_daemon::open(reason& why)
{
    open_orders();
    open_api();
    if (!open_log(why) || !mesh_.start_open(own_.bind.value_or(own_.address), why) ||
        !open_listeners(why)) {
        return false;
    }
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_ms);
    log_line("started")
        .with("role", "control")
        .with("name", own_.name)
        .with("id", id_.str())
        .with("first_start", own_.first_start)
        .with("version", state_.version())
        .with("term", log_->raft().term())
        .write();
    return true;
}

replicated_log::options control_daemon::make_log_options() const
{
    replicated_log::options out;
    out.self = member_id{id_.str()};
    out.raft.election_timeout = election_timeout;
    out.raft.heartbeat = raft_heartbeat;
    out.raft.start = own_.first_start ? start_mode::first : start_mode::later;
    out.seed = std::random_device{}();
    if (own_.first_start) {
        for (const auto& seed : seed_daemons(own_)) {
            auto* member = out.bootstrap.add_members();
            member->set_id(seed.str());
            member->set_voter(true);
        }
    }
    return out;
}

bool control_daemon::open_log(reason& why)
{
    const auto send_raft = [this](const member_id& to, const wire::raft_message& message) {
        wire::envelope out;
        out.mutable_raft()->set_log(log_name);
        *out.mutable_raft()->mutable_message() = message;
        send(daemon_id{to.str()}, std::move(out));
    };
    const auto folder = own_.data_folder + "/" + log_name;
    log_ = replicated_log::open(steady_now(), make_log_options(), &files_, folder, state_,
                                send_raft, why);
    if (log_ == nullptr) {
        return false;
    }
    membership_ = std::make_unique<log_membership>(
        log_membership::options{id_, seed_daemons(own_), log_name,
                                voters_for(own_.tolerated_losses)},
        *log_, [this](const daemon_id& to, wire::envelope out) { send(to, std::move(out)); });
    return true;
}

void control_daemon::open_orders()
{
    runner_orders::hooks hooks;
    hooks.on_order_end = [this](const group_order& order, order_result result) {
        on_order_end(order, result);
    };
    hooks.on_probe_answered = [this](const runner_id& runner) {
        leader_.on_probe_answered(steady_now(), runner);
    };
    hooks.on_probe_failed = [this](const runner_id& runner, probe_failure how) {
        on_probe_failed(runner, how);
    };
    orders_ = std::make_unique<runner_orders>(platform_, std::move(hooks));
}

void control_daemon::open_api()
{
    control_api::hooks hooks;
    hooks.leads = [this] { return has_begun_to_lead(steady_now()); };
    hooks.is_ready = [this] { return is_ready(steady_now()); };
    hooks.leader = [this] { return leader_api(); };
    hooks.propose = [this](std::string command, replicated_log::answer_handler done) {
        return log_->propose(steady_now(), std::move(command), std::move(done));
    };
    hooks.on_committed = [this] { push_view(steady_now()); };
    api_ = std::make_unique<control_api>(platform_, state_, leader_, metrics_, std::move(hooks));
}

bool control_daemon::open_listeners(reason& why)
{
    api_listener_ = std::make_unique<http_listener>(
        api_limits(), [this](const http_request& request, const reply_ptr& reply) {
            api_->on_call(request, reply);
        });
    if (!api_listener_->start(*own_.control, why)) {
        return false;
    }
    if (!own_.metrics) {
        return true;
    }
    metrics_listener_ = make_metrics_listener([this] { return metrics_.text(); });
    return metrics_listener_->start(*own_.metrics, why);
}

void control_daemon::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    log_line("stopping").with("leads", leads(steady_now())).write();
    timer_.stop();
    log_line("stopped").write();
    on_stopped(0);
}

// --- the tick -----------------------------------------------------------------------------------

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
    return endpoint{address->ip, own_.control->port}; // the port is the same on all of them
}

void control_daemon::tick()
{
    const auto now = steady_now();
    mesh_.drain();
    log_->tick(now);
    if (!is_disk_fine()) {
        return;
    }
    note_leader();
    membership_->tick(now, leads(now));
    metrics_.set_leader(leads(now));
    metrics_.set_version(static_cast<double>(state_.version()));
    if (leads(now)) {
        lead(now);
    }
    else {
        orders_->cancel_all();
    }
    if (now >= next_summary_) {
        next_summary_ = now + summary_interval;
        summarize(now);
    }
    mesh_.drain();
}

bool control_daemon::is_disk_fine()
{
    const auto& failure = log_->failure();
    if (!failure) {
        return true;
    }
    log_line("disk_failed").with("reason", failure->str()).write();
    timer_.stop();
    on_stopped(disk_failed_exit);
    return false;
}

void control_daemon::note_leader()
{
    const daemon_id leader{log_->raft().leader().str()};
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

void control_daemon::lead(instant now)
{
    const auto term = log_->raft().term();
    if (led_term_ != term) {
        led_term_ = term;
        leader_.begin_term(now, term);
        log_line("leading").with("term", term).with("version", state_.version()).write();
    }
    for (const auto& step : leader_.tick(now)) {
        carry_out(now, step);
    }
    drop_lost_followers(now);
    if (now >= next_refresh_) {
        push_view(now);
    }
}

void control_daemon::carry_out(instant now, const planner_step& step)
{
    if (step.kind == planner_step::kind_t::record) {
        log_->propose(now, step.command, {});
    }
    else {
        orders_->carry_out(step);
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
        send(follower, std::move(out));
    }
}

void control_daemon::summarize(instant now)
{
    const bool leading = leads(now);
    std::map<plan_phase, double> groups;
    for (const auto phase : plan_phases) {
        groups[phase] = 0; // also once this daemon leads no more
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

void control_daemon::send(const daemon_id& to, wire::envelope out)
{
    out.set_from(id_.str());
    out.set_from_member(id_.str());
    mesh_.add_peer(to);
    mesh_.send(to, out);
}

void control_daemon::receive(const wire::envelope& in)
{
    const auto now = steady_now();
    if (log_ == nullptr) {
        return; // still starting
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
        if (raft.leader().empty() && provisional_views_.is_useful(in.follow(), raft.commit())) {
            update = provisional_views_.at(raft.commit());
        }
        update.set_leader(raft.leader().str());
    }
    for (const auto& member : raft.members().members()) {
        update.add_voters(member.id());
    }
    send(follower, std::move(out));
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
        .with("fence", order.fence)
        .with("result", name_of(result))
        .write();
    leader_.on_order_result(steady_now(), order, result);
}

void control_daemon::on_probe_failed(const runner_id& runner, probe_failure how)
{
    // The event is called as it was before probes had their name: operators search for it.
    log_line("look_failed").with("runner", runner.str()).with("how", name_of(how)).write();
    if (how == probe_failure::other_runner) {
        leader_.on_other_runner(runner);
    }
    else {
        leader_.on_probe_failed(runner, how == probe_failure::refused);
    }
}

} // namespace cedarpoint

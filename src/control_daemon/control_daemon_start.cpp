// Construction, start and stop of a control daemon.

#include "control_daemon/control_daemon.h"

#include "io/clock.h"
#include "io/crash_log.h"
#include "io/log_line.h"
#include "io/simple_listeners.h"

#include <fmt/format.h>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

constexpr int tick_interval_ms = 20;
/// A new leader is elected 0.5 to 1 s after the last message of the previous one.
constexpr duration election_timeout = milliseconds{500};
/// Time between two heartbeats of the log's leader.
constexpr duration raft_heartbeat = milliseconds{100};
/// Simultaneous connections of operators and runners.
constexpr std::size_t max_api_connections = 1500;
/// Bytes of a declarative configuration document. The largest known one has 260 KB with 900 routes.
constexpr std::size_t max_api_body_bytes = 16 << 20;
/// The name of the log in messages, and of its folder.
constexpr const char* log_name = "fleet";

/// The part of the process's memory for the bodies of calls is this fraction.
constexpr std::size_t api_memory_divisor = 4;

caller_limits api_limits(const fleet_settings& daemon_settings)
{
    caller_limits out;
    out.max_bodies_bytes = daemon_settings.memory_bytes / api_memory_divisor;
    out.max_connections = max_api_connections;
    out.max_body_bytes = max_api_body_bytes;
    return out;
}

planner_options planner_options_of(const fleet_settings& daemon_settings)
{
    planner_options out;
    out.heartbeat = daemon_settings.heartbeat;
    // By then every runner has sent a heartbeat; half an interval is left for its transmission.
    out.settle = daemon_settings.heartbeat * 3 / 2;
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

std::string describe(instant now, const std::vector<crash_observation>& crashes)
{
    std::string out;
    for (const auto& each : crashes) {
        out += fmt::format("{}{} {} ms ago seen by {} as {}", out.empty() ? "" : ", ",
                           each.runner.str(), to_ms(now - each.ended_at), each.daemon.str(),
                           each.request.str());
    }
    return out;
}

/// Logs a request, or a part of prompts, when a second runner has crashed while running it, and
/// again for each further runner. Those with a single crash are many, and entry daemons log them.
void log_crashes(instant now, const crash_cause& cause, const crash_history& known)
{
    if (known.crashes.size() >= std::size_t{crashes_to_stop_retries}) {
        log_line(is_prompt_part(cause) ? "part_crashes" : "request_crashes")
            .with(log_key_of(cause), describe(cause))
            .with("runners", describe(now, known.crashes))
            .write();
    }
}

void log_quarantine(instant now, const quarantine_order& order)
{
    log_line("quarantine")
        .with(log_key_of(order.cause), describe(order.cause))
        .with("runners", describe(now, order.crashes))
        .write();
}

} // namespace

control_daemon::control_daemon(fleet_settings daemon_settings)
    : settings_{std::move(daemon_settings)}, id_{settings_.address.str()},
      platform_{installed_platform()}, leader_{planner_options_of(settings_), platform_, state_},
      mesh_{[this](const wire::envelope& in) { receive(in); }}
{
    mesh_.on_unreadable = [this] { metrics_.count_unreadable_message(); };
    leader_.set_event_handler(log_group);
    leader_.on_unreadable_configuration = log_unreadable;
    leader_.on_crashes = log_crashes;
    leader_.on_leave_signal = [](const runner_id& runner) {
        log_line("runner_leaving").with("runner", runner.str()).write();
    };
    leader_.on_quarantine = log_quarantine;
}

control_daemon::~control_daemon() = default;

std::unique_ptr<control_daemon> control_daemon::start(fleet_settings daemon_settings, reason& why)
{
    std::unique_ptr<control_daemon> out{new control_daemon{std::move(daemon_settings)}};
    if (!out->open(why)) {
        return {};
    }
    return out;
}

bool control_daemon::open(reason& why)
{
    open_orders();
    open_api();
    if (!open_log(why) ||
        !mesh_.start_unauthenticated(settings_.bind.value_or(settings_.address), why) ||
        !open_listeners(why)) {
        return false;
    }
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_interval_ms);
    log_->tick(steady_now()); // applies the stored entries that are known to be committed
    log_started();
    return true;
}

void control_daemon::log_started() const
{
    const auto& raft = log_->raft();
    const auto stored = raft.elections(steady_now());
    log_line("started")
        .with("role", "control")
        .with("name", settings_.name)
        .with("id", id_.str())
        .with("first_start", settings_.first_start)
        .with("version", state_.version())
        .with("term", stored.term)
        .with("snapshot", raft.snapshot().index())
        .with("commit", raft.commit())
        .with("last_index", stored.last_index)
        .with("last_term", stored.last_term)
        .with("storage", static_cast<std::uint64_t>(raft.own_storage()))
        .with("admitted", stored.whole)
        .write();
}

replicated_log::options control_daemon::make_log_options() const
{
    replicated_log::options out;
    out.self = member_id{id_.str()};
    out.raft.election_timeout = election_timeout;
    out.raft.heartbeat = raft_heartbeat;
    out.raft.start = settings_.first_start ? start_mode::first : start_mode::later;
    out.seed = std::random_device{}();
    out.clock = steady_now;
    if (settings_.first_start) {
        for (const auto& seed : seed_daemons(settings_)) {
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
        elections_.on_message(to, send(daemon_id{to.str()}, std::move(out)));
    };
    const auto folder = settings_.data_folder + "/" + log_name;
    log_ = replicated_log::open(steady_now(), make_log_options(), &files_, folder, state_,
                                send_raft, why);
    if (log_ == nullptr) {
        return false;
    }
    membership_ = std::make_unique<log_membership>(
        log_membership::options{
            id_, seed_daemons(settings_), log_name, voters_for(settings_.tolerated_losses),
            [this] { return read_seeds ? read_seeds() : std::vector<daemon_id>{}; }},
        *log_, [this](const daemon_id& to, wire::envelope out) { send(to, std::move(out)); });
    return true;
}

void control_daemon::open_orders()
{
    runner_orders::hooks hooks;
    hooks.may_send = [this] { return leads(steady_now()); };
    hooks.on_order_end = [this](const group_order& order, order_result result) {
        on_order_end(order, result);
    };
    hooks.on_probe_answered = [this](const runner_id& runner,
                                     const std::optional<probe_report>& report) {
        leader_.on_probe_answered(steady_now(), runner, report);
    };
    hooks.on_probe_failed = [this](const runner_id& runner, probe_failure how) {
        on_probe_failed(runner, how);
    };
    hooks.incarnation_of = [this](const runner_id& runner) {
        const auto* record = leader_.registry().find(runner);
        return record == nullptr ? incarnation{} : record->latest.born;
    };
    hooks.on_leaving = [this](const runner_id& runner, incarnation its_incarnation) {
        leader_.on_runner_leaving(runner, its_incarnation);
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
        api_limits(settings_), [this](const http_request& request, const reply_ptr& reply) {
            api_->on_call(request, reply);
        });
    if (!api_listener_->start(*settings_.control, why)) {
        return false;
    }
    if (!settings_.metrics) {
        return true;
    }
    metrics_listener_ = make_metrics_listener([this] { return metrics_.text(); });
    return metrics_listener_->start(*settings_.metrics, why);
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

} // namespace cedarpoint

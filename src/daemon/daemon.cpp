#include "daemon/daemon.h"

#include "cedarpoint/core/hash.h"
#include "cedarpoint/quarantine/crash_messages.h"
#include "io/clock.h"
#include "io/crash_log.h"
#include "io/log_line.h"

#include <QCoreApplication>

#include <algorithm>
#include <map>
#include <random>

namespace cedarpoint {
namespace {

/// Interval between two ticks.
constexpr int tick_ms = 20;
/// Interval between two updates of the targets.
constexpr duration view_interval = milliseconds{50};
constexpr duration metrics_interval = seconds{1};
/// Interval at which the requests under which runners ended are sent again to the other daemons.
/// Daemons that missed an earlier message receive them in this way.
constexpr duration publish_interval = seconds{5};
/// Exit code of the process if its state can't be made durable; see docs/OPERATIONS.md.
constexpr int disk_failed_exit = 5;
/// Length of a CURVE key in Z85, as printed by `curve_keygen`.
constexpr std::size_t key_digits = 40;

std::uint64_t random_seed()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

void log_group(const group_event& it)
{
    log_line("placement")
        .with("group", it.group.str())
        .with("state", it.state)
        .with("epoch", it.assignment.value)
        .with("nodes", it.nodes)
        .with("reason", it.reason)
        .write();
}

dispatch_options dispatch_options_of(const settings& in)
{
    dispatch_options out;
    // The load balancer distributes requests evenly, so each daemon enforces an equal share of each
    // limit.
    out.limit_share = in.peers.empty() ? 1.0 : 1.0 / static_cast<double>(in.peers.size());
    // No leader distributes rates in this setup: each daemon issues its own permits, starting at a
    // random time. A quarter of each rate is left unused, because permits of several daemons can
    // coincide.
    out.permits.rate_fraction = 0.75;
    out.permits.daemons = std::max<std::size_t>(in.peers.size(), 1);
    out.permits.seed = hash_of(in.id.str());
    return out;
}

} // namespace

daemon::daemon(settings daemon_settings)
    : settings_{std::move(daemon_settings)}, dispatcher_{settings_.failure_domain,
                                                         dispatch_options_of(settings_)},
      runner_ends_{
          [this](const runner_id& runner, bool refused) { on_runner_end_checked(runner, refused); }}
{
}

daemon::~daemon() = default;

std::unique_ptr<daemon> daemon::start(settings daemon_settings, reason& why)
{
    std::unique_ptr<daemon> out{new daemon{std::move(daemon_settings)}};
    if (!out->open(why)) {
        return {};
    }
    return out;
}

bool daemon::open_mesh(reason& why)
{
    if (!settings_.daemons) {
        return true;
    }
    std::string secret;
    if (!settings_.curve_secret_file.empty()) {
        const auto text = files_.read(settings_.curve_secret_file, why);
        if (!text || text->size() < key_digits) {
            why = {"read key", settings_.curve_secret_file,
                   "expected a Z85-encoded key of 40 characters"};
            return false;
        }
        secret = text->substr(0, key_digits);
    }
    mesh_ = std::make_unique<mesh>([this](const wire::envelope& in) {
        if (in.has_crashes()) {
            const auto now = steady_now();
            const auto made_at =
                peer_clocks_.sent_at(now, daemon_id{in.from()}, in.crashes().stamp_us());
            dispatcher_.merge_crashes(now, decode_crashes(made_at, in.crashes().suspected()));
        }
        control_->receive(steady_now(), in);
    });
    mesh_->on_unreadable = [this] { metrics_.count_unreadable_message(); };
    return mesh_->start(settings_, secret, why);
}

control_hooks daemon::make_control_hooks()
{
    control_hooks out;
    out.send = [this](const daemon_id& to, const wire::envelope& it) {
        if (mesh_ != nullptr) {
            mesh_->send(to, it);
        }
    };
    out.order = [this](const runner_order& it) { runners_->order(it); };
    out.log = log_group;
    out.wall_ms = wall_ms;
    return out;
}

caller_gateway::hooks daemon::make_gateway_hooks()
{
    caller_gateway::hooks out;
    out.is_ready = [this] { return is_ready(); };
    out.begin_claim = [this](const ask_claim& ask) {
        control_->begin_claim(
            steady_now(), ask, [this, request = ask.request](claim_verdict verdict) {
                gateway_->perform(dispatcher_.claim_answered(steady_now(), request, verdict));
            });
    };
    out.check_runner_end = [this](const check_runner& it) {
        runner_ends_.check(it.runner, it.address);
    };
    out.finish_claim = [this](const end_claim& end) { control_->finish_claim(steady_now(), end); };
    return out;
}

bool daemon::open_control(reason& why)
{
    control_plane::options options;
    options.daemon_settings = settings_;
    options.seed = random_seed();
    options.clock = steady_now;
    file_system* files = settings_.data_folder.empty() ? nullptr : &files_;
    runners_ =
        std::make_unique<runner_client>([this](const runner_id& id, const runner_report& it) {
            control_->on_report(steady_now(), id, it);
        });
    control_ =
        control_plane::open(steady_now(), std::move(options), files, make_control_hooks(), why);
    return control_ != nullptr;
}

bool daemon::open(reason& why)
{
    if (!open_control(why) || !open_mesh(why)) {
        return false;
    }
    gateway_ = std::make_unique<caller_gateway>(settings_, dispatcher_, decisions_, metrics_,
                                                make_gateway_hooks());
    operators_ = std::make_unique<operator_api>(*this);
    if (!gateway_->start(settings_.callers, why) || !operators_->start(settings_.operators, why)) {
        return false;
    }
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_ms);
    log_line("started")
        .with("daemon", settings_.id.str())
        .with("failure_domain", settings_.failure_domain.str())
        .with("callers", callers().str())
        .with("operators", operators().str())
        .write();
    tick();
    return true;
}

bool daemon::is_ready() const
{
    return !stopping_ && control_->is_ready(steady_now()) && view_revision_.value > 0;
}

void daemon::tick()
{
    const auto now = steady_now();
    if (mesh_ != nullptr) {
        mesh_->drain();
    }
    control_->tick(now);
    if (mesh_ != nullptr) {
        mesh_->drain();
    }
    disk_.note(control_->write_failure());
    if (!check_durability()) {
        return;
    }
    poll_runners(now);
    if (now >= next_view_) {
        next_view_ = now + view_interval;
        refresh_view();
    }
    gateway_->perform(dispatcher_.tick(now));
    runner_ends_.clean_up();
    if (now >= next_publish_) {
        publish_crashes(now);
    }
    if (now >= next_metrics_) {
        next_metrics_ = now + metrics_interval;
        refresh_metrics();
    }
    check_stop();
}

void daemon::poll_runners(instant now)
{
    if (now >= next_poll_) {
        next_poll_ = now + settings_.watch_interval;
        runners_->poll_states(control_->watched(now));
    }
}

bool daemon::check_durability()
{
    const auto failure = control_->failure();
    if (!failure) {
        return true;
    }
    log_line("disk_failed")
        .with("step", failure->step)
        .with("peer", failure->peer)
        .with("reason", failure->text)
        .write();
    ended_ = true;
    timer_.stop();
    if (on_stopped) {
        on_stopped(disk_failed_exit);
    }
    return false;
}

void daemon::on_runner_end_checked(const runner_id& runner, bool refused)
{
    const auto now = steady_now();
    const auto seen = dispatcher_.runner_checked(now, runner, refused);
    if (seen.empty()) {
        return;
    }
    log_runner_end(runner, seen);
    publish_crashes(now);
}

void daemon::publish_crashes(instant now)
{
    next_publish_ = now + publish_interval;
    wire::envelope out;
    auto known = dispatcher_.known_crashes();
    for (auto& [request, history] : known) {
        for (auto& crash : history.crashes) {
            crash.daemon = crash.daemon.empty() ? settings_.id : crash.daemon;
        }
    }
    out.mutable_crashes()->set_stamp_us(now.time_since_epoch().count());
    encode_crashes(now, known, *out.mutable_crashes()->mutable_suspected());
    if (out.crashes().suspected_size() > 0) {
        control_->send_to_all(out);
    }
}

void daemon::refresh_view()
{
    const auto now = steady_now();
    const auto& state = control_->domain();
    if (state.in_force() != view_revision_) {
        view_revision_ = state.in_force();
        dispatcher_.set_configuration(state.config());
        log_line("in_force")
            .with("revision", view_revision_.value)
            .with("change", state.accepted().change_id())
            .write();
    }
    auto targets = control_->targets(
        now, [this](const runner_id& it) { return dispatcher_.in_flight_at(it); });
    std::map<runner_id, bool> present;
    for (const auto& it : targets) {
        present[it.upstream] = it.present;
    }
    gateway_->perform(dispatcher_.set_targets(now, std::move(targets)));
    gateway_->cut_attempts([&](const runner_id& it) {
        const auto found = present.find(it);
        return found != present.end() && !found->second;
    });
}

void daemon::refresh_metrics()
{
    const auto now = steady_now();
    const auto& state = control_->domain();
    metrics_.set_in_flight(static_cast<double>(dispatcher_.in_flight()));
    metrics_.set_queued(static_cast<double>(dispatcher_.queued()));
    metrics_.set_sessions(static_cast<double>(dispatcher_.sessions()));
    metrics_.set_connections(static_cast<double>(gateway_->connections()));
    metrics_.set_revision(static_cast<double>(state.in_force().value));
    metrics_.set_leader(control_->domain_log().raft().is_leader());
    const auto grant = control_->granted_at(now);
    constexpr double us = 1e6;
    metrics_.set_grant_age(grant ? static_cast<double>((now - *grant).count()) / us : -1);
    std::map<std::string, int> by_state;
    for (const auto& name : {"loading", "serving", "draining", "stopped", "lost"}) {
        by_state[name] = 0;
    }
    for (const auto& [id, it] : state.groups().records()) {
        ++by_state[std::string{name_of(it.state)}];
    }
    for (const auto& [name, n] : by_state) {
        metrics_.set_groups(name, n);
    }
    metrics_.set_stranded(control_->stranded_accelerators(now));
}

void daemon::stop()
{
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_deadline_ = steady_now() + settings_.stop_bound;
    log_line("stopping").with("in_flight", dispatcher_.in_flight()).write();
    gateway_->perform(dispatcher_.begin_stop(steady_now()));
    gateway_->stop_listening();
}

void daemon::check_stop()
{
    if (!stopping_ || ended_) {
        return;
    }
    const bool idle = dispatcher_.in_flight() == 0 && gateway_->connections() == 0;
    if (!idle && steady_now() < stop_deadline_) {
        return;
    }
    ended_ = true;
    log_line("stopped").with("cut", dispatcher_.in_flight()).write();
    if (on_stopped) {
        on_stopped(0);
    }
}

} // namespace cedarpoint

#include "entry/entry_daemon.h"

#include "io/clock.h"
#include "io/log_line.h"
#include "io/simple_listeners.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <random>
#include <utility>

namespace cedarpoint {
namespace {

constexpr int tick_interval_ms = 20;
/// Time after the start of a planned stop during which connections are still accepted. The load
/// balancer probes every second and removes a daemon after two failed probes; another second is
/// left for connections that are already being made.
constexpr duration balancer_removal_time = milliseconds{3000};
/// Requests that still run are ended this long before the stop bound.
constexpr duration stop_margin = milliseconds{700};
/// Time after that for their answers to reach the callers.
constexpr duration last_answer_time = milliseconds{300};
/// Simultaneous connections of callers.
constexpr std::size_t max_caller_connections = 2000;
/// Bytes of a request's body: twice the limit in the users' own configuration (4 MiB).
constexpr std::size_t max_caller_body_bytes = std::size_t{8} << 20;

/// Parts of the process's memory for the bodies of requests, and for answers that are held or not
/// read yet. The rest is for the process itself, the buffers of its sockets, and the copies that
/// strings make while they grow.
constexpr double request_memory_share = 0.52;
constexpr double answer_memory_share = 0.15;
/// Control daemons that one log line names.
constexpr std::size_t max_logged_control_daemons = 9;
/// Bytes of one answer.
constexpr std::size_t max_answer_bytes = std::size_t{16} << 20;

std::size_t part_of(std::size_t bytes, double share)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

answer_memory::limits answer_limits(const fleet_settings& daemon_settings)
{
    answer_memory::limits out;
    out.one_answer = max_answer_bytes;
    out.all_answers = part_of(daemon_settings.memory_bytes, answer_memory_share);
    return out;
}

listener_memory make_listener_memory(const fleet_settings& daemon_settings)
{
    const auto bytes = part_of(daemon_settings.memory_bytes, request_memory_share);
    return {std::make_shared<byte_budget>(body_budget_limits(bytes)),
            std::make_shared<byte_account>()};
}

/// Bytes that an entry daemon may add to the head of a request that it sends through another one.
constexpr std::size_t max_forward_field_bytes = 4096;

caller_limits limits_of(request_source source)
{
    caller_limits out;
    out.max_connections = max_caller_connections;
    out.max_body_bytes = max_caller_body_bytes;
    out.max_head_bytes += source == request_source::entry_daemon ? max_forward_field_bytes : 0;
    return out;
}

std::uint64_t random_seed()
{
    return std::random_device{}();
}

} // namespace

entry_daemon::entry_daemon(fleet_settings daemon_settings)
    : settings_{std::move(daemon_settings)}, memory_{make_listener_memory(settings_)},
      context_{.platform = installed_platform(),
               .routes = nullptr,
               .name = settings_.name,
               .targets = target_set{settings_.failure_domain, random_seed()},
               .peers =
                   entry_peers{settings_.forwards.value_or(endpoint{}), settings_.failure_domain},
               .budget = windowed_retry_budget{settings_.budget, steady_now()},
               .pool = {},
               .answers = answer_memory{answer_limits(settings_), memory_.unwritten.get()},
               .metrics = {},
               .entry_daemons = 0, // unknown before the first update
               .random = std::mt19937_64{random_seed()},
               .demand = {},
               .request_report_soon = {},
               .crashes = {},
               .check_runner_end = {},
               .stop = {},
               .answer_time = {}},
      follower_{settings_, make_follower_hooks()}, runner_ends_{[this](const runner_id& runner,
                                                                       bool refused) {
          on_runner_end_checked(runner, refused);
      }},
      path_prober_{[this](const runner_id& runner, connect_probe::result how) {
          on_path_probed(runner, how);
      }},
      peer_prober_{[this](const endpoint& peer, connect_probe::result how) {
          if (how == connect_probe::result::connected) {
              context_.peers.on_reached(peer);
          }
      }},
      mesh_{[this](const wire::envelope& in) { follower_.receive(steady_now(), in); }},
      suspensions_{steady_now(), timer_now()}
{
    mesh_.on_unreadable = [this] {
        context_.metrics.count_unreadable_message();
        follower_.on_unreadable_message();
    };
}

entry_daemon::~entry_daemon()
{
    requests_.clear();
    finished_requests_.clear();
}

fleet_follower::hooks entry_daemon::make_follower_hooks()
{
    fleet_follower::hooks out;
    out.send = [this](const daemon_id& to, wire::envelope message) {
        message.set_from(settings_.address.str());
        mesh_.add_peer(to);
        mesh_.send(to, message);
    };
    out.make_report = [this] { return make_report(); };
    out.on_view = [this](view_copy::outcome outcome) { on_view(outcome); };
    out.on_update = [this](const wire::fleet_update& update) { on_update(update); };
    out.on_leader = [](const daemon_id& leader, bool found) {
        log_line(found ? "dependency_regained" : "dependency_lost")
            .with("kind", "control leader")
            .with("peer", leader.str())
            .write();
    };
    out.read_seeds = [this] { return read_seeds ? read_seeds() : std::vector<daemon_id>{}; };
    out.on_leader_missing = [this](duration since, const std::set<daemon_id>& asked) {
        log_missing_leader(since, asked);
    };
    return out;
}

void entry_daemon::log_missing_leader(duration since, const std::set<daemon_id>& asked) const
{
    std::vector<std::string> names;
    for (const auto& each : asked) {
        if (names.size() == max_logged_control_daemons) {
            break;
        }
        names.push_back(each.str());
    }
    log_line("no_leader")
        .with("ms", to_ms(since))
        .with("asked", asked.size())
        .with("control_daemons", fmt::format("{}", fmt::join(names, " ")))
        .with("term", follower_.view().term())
        .with("config", installed_version_)
        .write();
}

// --- start and stop -----------------------------------------------------------------------------

std::unique_ptr<entry_daemon> entry_daemon::start(fleet_settings daemon_settings, reason& why)
{
    std::unique_ptr<entry_daemon> out{new entry_daemon{std::move(daemon_settings)}};
    if (!out->open(why)) {
        return {};
    }
    return out;
}

bool entry_daemon::open(reason& why)
{
    if (!mesh_.start_unauthenticated(settings_.bind.value_or(settings_.address), why) ||
        !open_listeners(why)) {
        return false;
    }
    reachability_.on_result = [this] { follower_.report_soon(); };
    context_.request_report_soon = [this] { follower_.report_soon(); };
    context_.check_runner_end = [this](const runner_id& runner, const endpoint& address) {
        runner_ends_.check(runner, address);
    };
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_interval_ms);
    log_line("started")
        .with("role", "entry")
        .with("name", settings_.name)
        .with("failure_domain", settings_.failure_domain.str())
        .with("callers", settings_.callers->str())
        .write();
    tick();
    return true;
}

bool entry_daemon::open_listeners(reason& why)
{
    callers_listener_ = make_listener(request_source::caller);
    if (settings_.forwards) {
        forwards_listener_ = make_listener(request_source::entry_daemon);
        if (!forwards_listener_->start(*settings_.forwards, why)) {
            return false;
        }
    }
    ready_listener_ = make_ready_listener([this] { return is_ready(); });
    if (!callers_listener_->start(*settings_.callers, why) ||
        !ready_listener_->start(*settings_.ready, why)) {
        return false;
    }
    if (!settings_.metrics) {
        return true;
    }
    metrics_listener_ = make_metrics_listener([this] { return context_.metrics.text(); });
    return metrics_listener_->start(*settings_.metrics, why);
}

std::unique_ptr<http_listener> entry_daemon::make_listener(request_source source)
{
    auto out = std::make_unique<http_listener>(
        limits_of(source),
        [this, source](http_request request, const std::shared_ptr<http_reply>& reply) {
            make_relay(source, std::move(request), reply)->start();
        },
        memory_);
    out->on_no_memory = [this, source](http_request request,
                                       const std::shared_ptr<http_reply>& reply) {
        make_relay(source, std::move(request), reply)->refuse_for_memory();
    };
    return out;
}

void entry_daemon::stop_listeners()
{
    callers_listener_->stop();
    if (forwards_listener_ != nullptr) {
        forwards_listener_->stop();
    }
}

bool entry_daemon::is_ready() const
{
    return !context_.stop && context_.routes != nullptr;
}

void entry_daemon::stop()
{
    if (context_.stop) {
        return;
    }
    const auto now = steady_now();
    context_.stop = {now + balancer_removal_time, now + settings_.stop_bound - stop_margin};
    log_line("stopping").with("in_flight", requests_.size()).write();
}

bool entry_daemon::is_stop_due(instant now)
{
    const auto& stop = *context_.stop;
    if (!closing_ && now >= stop.accepts_until) {
        closing_ = true;
        stop_listeners();
    }
    if (now >= stop.answers_due) {
        end_requests();
    }
    const bool idle = closing_ && requests_.empty() && callers_listener_->connections() == 0;
    return idle || now >= stop.answers_due + last_answer_time;
}

void entry_daemon::end_requests()
{
    cut_ += requests_.size();
    for (const auto& each : std::vector(requests_.begin(), requests_.end())) {
        each->on_stop_due();
    }
}

void entry_daemon::check_stop(instant now)
{
    if (!context_.stop || !is_stop_due(now)) {
        return;
    }
    log_line("stopped").with("cut", cut_).write();
    timer_.stop();
    on_stopped();
}

// --- the view -----------------------------------------------------------------------------------

void entry_daemon::tick()
{
    const auto now = steady_now();
    finished_requests_.clear();
    runner_ends_.clean_up();
    path_prober_.clean_up();
    peer_prober_.clean_up();
    check_suspension(now);
    check_paths(now);
    check_peers(now);
    mesh_.drain();
    follower_.tick(now);
    mesh_.drain();
    context_.metrics.set_view(static_cast<double>(follower_.view().version()),
                              now - follower_.leader_active_at());
    context_.metrics.set_in_flight(static_cast<double>(requests_.size()));
    context_.metrics.set_rate_limited_runners(
        static_cast<double>(context_.targets.permits().count_limited()));
    context_.metrics.set_paused_runners(
        static_cast<double>(context_.targets.holds().count_paused(now)));
    context_.metrics.set_leaving_runners(
        static_cast<double>(context_.targets.holds().count_leaving()));
    context_.metrics.set_suspected_requests(
        static_cast<double>(context_.crashes.count_suspected()));
    context_.metrics.set_quarantined_requests(
        static_cast<double>(context_.crashes.count_quarantined()));
    observe_memory(now);
    check_stop(now);
}

void entry_daemon::observe_memory(instant now)
{
    const auto requests = memory_.bodies->reserved();
    const auto answers = context_.answers.held();
    const auto unwritten = memory_.unwritten->held();
    memory_trimmer_.tick(now, requests + answers + unwritten);
    context_.metrics.set_held_request_bytes(static_cast<double>(requests));
    context_.metrics.set_held_answer_bytes(static_cast<double>(answers));
    context_.metrics.set_unwritten_answer_bytes(static_cast<double>(unwritten));
    context_.metrics.set_requests_awaiting_memory(static_cast<double>(memory_.bodies->waiting()));
}

void entry_daemon::check_suspension(instant now)
{
    const auto time = suspensions_.take(now, timer_now());
    if (time == duration{}) {
        return;
    }
    log_line("resumed").with("suspended_ms", to_ms(time)).write();
    for (const auto& each : std::vector(requests_.begin(), requests_.end())) {
        each->on_resumed(now);
    }
}

// --- requests -----------------------------------------------------------------------------------

std::shared_ptr<relay> entry_daemon::make_relay(request_source source, http_request request,
                                                const std::shared_ptr<http_reply>& reply)
{
    auto out = std::make_shared<relay>(context_, source, std::move(request), reply,
                                       [this](const std::shared_ptr<relay>& ended) {
                                           requests_.erase(ended);
                                           finished_requests_.push_back(ended);
                                       });
    requests_.insert(out);
    return out;
}

} // namespace cedarpoint

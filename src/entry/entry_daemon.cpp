#include "entry/entry_daemon.h"

#include "cedarpoint/fleet/fleet_state.h"
#include "io/clock.h"
#include "io/log_line.h"
#include "io/simple_listeners.h"

#include <random>

namespace cedarpoint {
namespace {

constexpr int tick_ms = 20;
/// Until the balancer has seen two misses, callers still come.
constexpr duration balancer_patience = milliseconds{3000};
/// Left of the stop bound when what still runs is broken off.
constexpr duration stop_margin = milliseconds{700};

caller_limits limits_of()
{
    caller_limits out;
    out.max_connections = 2000;
    out.max_body_bytes = std::size_t{8} << 20;
    return out;
}

std::uint64_t random_seed()
{
    return std::random_device{}();
}

} // namespace

entry_daemon::entry_daemon(fleet_settings own)
    : own_{std::move(own)}, context_{installed_platform(),
                                     nullptr,
                                     target_set{own_.failure_domain, random_seed()},
                                     windowed_retry_budget{own_.budget},
                                     {},
                                     {},
                                     1,
                                     std::mt19937_64{random_seed()},
                                     {},
                                     false},
      follower_{own_,
                {[this](const daemon_id& to, wire::envelope out) {
                     out.set_from(own_.address.str());
                     mesh_.add_peer(to);
                     mesh_.send(to, out);
                 },
                 [this](wire::fleet_follow& out) { fill(out); },
                 [this](view_copy::outcome outcome) { on_view(outcome); },
                 [this](const wire::fleet_update& update) {
                     reach_.check(steady_now(), update);
                     context_.targets.update_loads(update);
                 },
                 [](const daemon_id& leader, bool found) {
                     log_line(found ? "dependency_regained" : "dependency_lost")
                         .with("kind", "control leader")
                         .with("peer", leader.str())
                         .write();
                 }}},
      mesh_{[this](const wire::envelope& in) { follower_.receive(steady_now(), in); }}
{
}

entry_daemon::~entry_daemon()
{
    requests_.clear();
    ended_.clear();
}

std::unique_ptr<entry_daemon> entry_daemon::start(fleet_settings own, reason& why)
{
    std::unique_ptr<entry_daemon> out{new entry_daemon{std::move(own)}};
    if (!out->open(why)) {
        return {};
    }
    return out;
}

bool entry_daemon::open(reason& why)
{
    if (!mesh_.start_open(own_.bind.value_or(own_.address), why)) {
        return false;
    }
    callers_ = std::make_unique<http_listener>(
        limits_of(), [this](http_request request, const std::shared_ptr<http_reply>& reply) {
            on_request(std::move(request), reply);
        });
    ready_ = make_ready_listener([this] { return is_ready(); });
    if (!callers_->start(*own_.callers, why) || !ready_->start(*own_.ready, why)) {
        return false;
    }
    if (own_.metrics) {
        metrics_ = make_metrics_listener([this] { return context_.figures.text(); });
        if (!metrics_->start(*own_.metrics, why)) {
            return false;
        }
    }
    reach_.on_result = [this] { follower_.hurry(); };
    QObject::connect(&timer_, &QTimer::timeout, [this] { tick(); });
    timer_.start(tick_ms);
    log_line("started")
        .with("role", "entry")
        .with("name", own_.name)
        .with("failure_domain", own_.failure_domain.str())
        .with("callers", own_.callers->str())
        .write();
    tick();
    return true;
}

bool entry_daemon::is_ready() const
{
    return !context_.stopping && context_.routes != nullptr;
}

void entry_daemon::tick()
{
    const auto now = steady_now();
    ended_.clear();
    mesh_.drain();
    follower_.tick(now);
    mesh_.drain();
    context_.figures.set_view(static_cast<double>(follower_.view().version()),
                              now - follower_.heard());
    context_.figures.set_in_flight(static_cast<double>(requests_.size()));
    check_stop(now);
}

void entry_daemon::on_view(view_copy::outcome outcome)
{
    context_.daemons = follower_.followers();
    if (outcome != view_copy::outcome::applied) {
        return;
    }
    const auto& view = follower_.view();
    const auto* accepted = view.configuration();
    const auto held = context_.routes == nullptr ? 0 : context_.routes->version();
    if (accepted != nullptr && accepted->revision() > held &&
        accepted->revision() != refused_version_) {
        take_configuration(*accepted);
    }
    context_.targets.update(view.items());
    for (const auto& each : std::vector(requests_.begin(), requests_.end())) {
        each->on_targets_changed();
    }
    log_line("view")
        .with("term", view.term())
        .with("version", view.version())
        .with("targets", context_.targets.targets().size())
        .with("config", context_.routes == nullptr ? 0 : context_.routes->version())
        .write();
}

void entry_daemon::take_configuration(const wire::accepted_configuration& accepted)
{
    reason why;
    const auto document = read_document(accepted);
    auto read = context_.platform.read_configuration(document.value_or(""), why);
    if (!read) {
        refused_version_ = accepted.revision();
        log_line("configuration_unreadable")
            .with("version", accepted.revision())
            .with("reason", why.str())
            .write();
        return;
    }
    context_.routes = std::make_shared<const route_table>(std::move(*read));
    log_line("in_force").with("version", accepted.revision()).write();
}

void entry_daemon::fill(wire::fleet_follow& out)
{
    const auto now = steady_now();
    context_.targets.add_sightings(now, out);
    reach_.fill(now, out);
    for (auto& [model, count] : context_.demand) {
        auto* each = out.add_demand();
        each->set_model(model.str());
        each->set_started(std::exchange(count.started, 0));
        each->set_refused(std::exchange(count.refused, 0));
    }
}

void entry_daemon::on_request(http_request request, const std::shared_ptr<http_reply>& reply)
{
    const auto next = std::make_shared<relay>(context_, std::move(request), reply,
                                              [this](const std::shared_ptr<relay>& ended) {
                                                  requests_.erase(ended);
                                                  ended_.push_back(ended);
                                              });
    requests_.insert(next);
    next->start();
}

void entry_daemon::stop()
{
    if (context_.stopping) {
        return;
    }
    context_.stopping = true;
    stop_began_ = steady_now();
    log_line("stopping").with("in_flight", requests_.size()).write();
}

void entry_daemon::check_stop(instant now)
{
    if (!context_.stopping) {
        return;
    }
    const auto passed = now - stop_began_;
    if (!closing_ && passed >= balancer_patience) {
        closing_ = true;
        callers_->stop();
    }
    const bool idle = closing_ && requests_.empty() && callers_->connections() == 0;
    if (!idle && passed < own_.stop_bound - stop_margin) {
        return;
    }
    log_line("stopped").with("cut", requests_.size()).write();
    timer_.stop();
    on_stopped();
}

} // namespace cedarpoint

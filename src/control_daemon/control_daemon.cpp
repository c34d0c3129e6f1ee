#include "control_daemon/control_daemon.h"

#include "cedarpoint/consensus/membership_policy.h"
#include "cedarpoint/fleet/fleet_messages.h"
#include "io/clock.h"
#include "io/log_line.h"
#include "io/simple_listeners.h"

#include <algorithm>
#include <array>
#include <random>

namespace cedarpoint {
namespace {

constexpr int tick_ms = 20;
constexpr duration summary_interval = seconds{1};
constexpr duration membership_interval = milliseconds{500};
constexpr duration refresh_interval = milliseconds{40};
constexpr duration election_timeout = milliseconds{500};
constexpr duration raft_heartbeat = milliseconds{100};
constexpr int disk_failed_exit = 5;
constexpr std::size_t most_control_connections = 1500;
constexpr std::size_t most_control_body = 16 << 20;
constexpr const char* log_name = "fleet";
constexpr const char* come_back_seconds = "0.2";
constexpr int status_ok = 200;
constexpr int status_elsewhere = 307;
constexpr int status_bad = 400;
constexpr int status_unknown = 404;
constexpr int status_unavailable = 503;

caller_limits control_limits()
{
    caller_limits out;
    out.max_connections = most_control_connections;
    out.max_body_bytes = most_control_body;
    return out;
}

planner_options planner_options_of(const fleet_settings& own)
{
    planner_options out;
    out.heartbeat = own.heartbeat;
    out.stall = own.stall;
    out.settle = own.heartbeat * 3 / 2;
    return out;
}

} // namespace

control_daemon::control_daemon(fleet_settings own)
    : own_{std::move(own)}, id_{own_.address.str()}, platform_{installed_platform()},
      leader_{planner_options_of(own_), platform_, state_}, mesh_{[this](const wire::envelope& in) {
          receive(in);
      }}
{
    leader_.set_event_handler([](const plan_event& event) {
        log_line("placement")
            .with("group", event.group.str())
            .with("phase", name_of(event.phase))
            .with("reason", event.reason)
            .with("members", event.members)
            .write();
    });
    leader_.on_unreadable_configuration = [](std::uint64_t version, const reason& why) {
        log_line("configuration_unreadable")
            .with("version", version)
            .with("reason", why.str())
            .write();
    };
}

control_daemon::~control_daemon() = default;

std::unique_ptr<control_daemon> control_daemon::start(fleet_settings own, reason& why)
{
    std::unique_ptr<control_daemon> out{new control_daemon{std::move(own)}};
    if (!out->open(why)) {
        return {};
    }
    return out;
}

bool control_daemon::open_log(reason& why)
{
    replicated_log::options options;
    options.self = member_id{id_.str()};
    options.raft.election_timeout = election_timeout;
    options.raft.heartbeat = raft_heartbeat;
    options.raft.start = own_.first_start ? start_mode::first : start_mode::later;
    options.seed = std::random_device{}();
    if (own_.first_start) {
        for (const auto& seed : own_.seeds) {
            auto* member = options.bootstrap.add_members();
            member->set_id(endpoint{seed.ip, own_.address.port}.str());
            member->set_voter(true);
        }
    }
    const auto folder = own_.data_folder + "/" + log_name;
    log_ = replicated_log::open(
        steady_now(), std::move(options), &files_, folder, state_,
        [this](const member_id& to, const wire::raft_message& message) {
            wire::envelope out;
            out.mutable_raft()->set_log(log_name);
            *out.mutable_raft()->mutable_message() = message;
            send(daemon_id{to.str()}, std::move(out));
        },
        why);
    return log_ != nullptr;
}

bool control_daemon::open_listeners(reason& why)
{
    control_ = std::make_unique<http_listener>(
        control_limits(),
        [this](const http_request& request, const reply_ptr& reply) { on_call(request, reply); });
    if (!control_->start(*own_.control, why)) {
        return false;
    }
    if (!own_.metrics) {
        return true;
    }
    metrics_ = make_metrics_listener([this] { return figures_.text(); });
    return metrics_->start(*own_.metrics, why);
}

bool control_daemon::open(reason& why)
{
    orders_ = std::make_unique<runner_orders>(
        platform_,
        runner_orders::hooks{
            [this](const group_order& order, order_result result) {
                figures_.count_order(std::string{name_of(order.kind)},
                                     std::string{name_of(result)});
                log_line("order")
                    .with("kind", name_of(order.kind))
                    .with("model", order.model.str())
                    .with("runner", order.to.str())
                    .with("group", order.group.str())
                    .with("fence", order.fence)
                    .with("result", name_of(result))
                    .write();
                leader_.on_order_result(steady_now(), order, result);
            },
            [this](const runner_id& runner) { leader_.on_probe_answered(steady_now(), runner); },
            [this](const runner_id& runner, probe_failure how) { on_probe_failed(runner, how); }});
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

void control_daemon::on_probe_failed(const runner_id& runner, probe_failure how)
{
    // The event is called as it was before probes had their name: operators search for it.
    log_line("look_failed").with("runner", runner.str()).with("how", name_of(how)).write();
    if (how == probe_failure::other_runner) {
        leader_.on_other_runner(runner);
        return;
    }
    leader_.on_probe_failed(runner, how == probe_failure::refused);
}

bool control_daemon::leads(instant now) const
{
    return log_->raft().is_leader() && log_->raft().holds_lease(now);
}

void control_daemon::tick()
{
    const auto now = steady_now();
    mesh_.drain();
    log_->tick(now);
    if (const auto& failure = log_->failure()) {
        log_line("disk_failed").with("reason", failure->str()).write();
        timer_.stop();
        on_stopped(disk_failed_exit);
        return;
    }
    const daemon_id leader{log_->raft().leader().str()};
    if (leader != known_leader_) {
        log_line(leader.empty() ? "dependency_lost" : "dependency_regained")
            .with("kind", "leader")
            .with("peer", leader.empty() ? known_leader_.str() : leader.str())
            .with("term", log_->raft().term())
            .write();
        known_leader_ = leader;
    }
    keep_members(now);
    figures_.set_leader(leads(now));
    figures_.set_version(static_cast<double>(state_.version()));
    if (leads(now)) {
        lead(now);
    }
    else {
        orders_->cancel_all();
    }
    mesh_.drain();
}

void control_daemon::keep_members(instant now)
{
    if (now < next_membership_) {
        return;
    }
    next_membership_ = now + membership_interval;
    if (!leads(now)) {
        ask_to_join();
        return;
    }
    const auto wanted = voters_for(own_.tolerated_losses);
    if (const auto next = next_promotion(now, log_->raft(), wanted)) {
        change_member(now, *next, true, true);
    }
    else if (const auto silent = next_demotion(now, log_->raft(), wanted)) {
        change_member(now, *silent, true, false);
        // Its place is taken at once: until then the log bears one loss less.
        next_membership_ = now;
    }
    else if (const auto gone = next_removal(now, log_->raft())) {
        change_member(now, *gone, false, false);
    }
}

bool control_daemon::change_member(instant now, const member_id& member, bool present, bool voter)
{
    if (!log_->change_membership(now, member, present, voter)) {
        return false;
    }
    log_line("member")
        .with("member", member.str())
        .with("present", present)
        .with("voter", voter)
        .write();
    return true;
}

void control_daemon::ask_to_join()
{
    // One that the others dropped while it was away doesn't know that: it asks as well.
    if (!log_->raft().leader().empty()) {
        return;
    }
    for (const auto& seed : own_.seeds) {
        wire::envelope out;
        out.mutable_join()->set_log(log_name);
        out.mutable_join()->set_member(id_.str());
        send(daemon_id{endpoint{seed.ip, own_.address.port}.str()}, std::move(out));
    }
}

void control_daemon::on_join(instant now, const wire::envelope& in)
{
    const member_id member{in.join().member()};
    const auto& members = log_->raft().members().members();
    const bool known = std::any_of(members.begin(), members.end(),
                                   [&](const auto& each) { return each.id() == member.str(); });
    if (!leads(now)) {
        // The seeds may not name the leader: pass it on once.
        const daemon_id leader{log_->raft().leader().str()};
        if (!leader.empty() && in.from() == member.str()) {
            wire::envelope out;
            *out.mutable_join() = in.join();
            send(leader, std::move(out));
        }
        return;
    }
    if (!known && endpoint::parse(member.str())) {
        change_member(now, member, true, false);
    }
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
        if (step.kind == planner_step::kind_t::record) {
            log_->propose(now, step.command, {});
        }
        else {
            orders_->carry_out(step);
        }
    }
    for (const auto& follower : leader_.take_lost_followers(now)) {
        log_line("dependency_lost")
            .with("kind", "entry daemon")
            .with("peer", follower.str())
            .write();
        mesh_.remove_peer(follower);
    }
    if (now >= next_refresh_) {
        push_view(now);
    }
    if (now >= next_summary_) {
        next_summary_ = now + summary_interval;
        log_line("plan").with("term", term).with("state", leader_.planner().summary(now)).write();
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
        return;
    }
    if (in.has_join()) {
        on_join(now, in);
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
    wire::envelope out;
    if (leads(now) && led_term_ == log_->raft().term()) {
        *out.mutable_update() = leader_.on_follow(now, daemon_id{in.from()}, in.follow());
    }
    else {
        offer_provisional(in.follow(), *out.mutable_update());
        out.mutable_update()->set_leader(log_->raft().leader().str());
    }
    for (const auto& member : log_->raft().members().members()) {
        out.mutable_update()->add_voters(member.id());
    }
    send(daemon_id{in.from()}, std::move(out));
}

void control_daemon::offer_provisional(const wire::fleet_follow& to, wire::fleet_update& out)
{
    const auto known = log_->raft().commit();
    const bool has_nothing = to.term() == 0 && to.version() < known;
    if (!has_nothing || !log_->raft().leader().empty() || state_.version() == 0) {
        return;
    }
    if (provisional_.to() != known) {
        reason why;
        const auto read = platform_.read_configuration(state_.document(), why);
        if (!read) {
            return;
        }
        provisional_ = make_provisional_update(state_, *read, known);
        log_line("provisional_view")
            .with("index", known)
            .with("config", state_.version())
            .with("groups", state_.groups().size())
            .write();
    }
    out = provisional_;
}

// --- calls of operators and runners -------------------------------------------------------------

void control_daemon::answer(const reply_ptr& reply, int status, const std::string& body) const
{
    http_head head{status, {}};
    head.fields.add("Content-Type", "application/json");
    if (status == status_unavailable) {
        head.fields.add("Retry-After", come_back_seconds);
    }
    reply->send(std::move(head), body);
}

bool control_daemon::send_elsewhere(const http_request& request, const reply_ptr& reply)
{
    const auto now = steady_now();
    if (leads(now) && led_term_ == log_->raft().term()) {
        return false;
    }
    const auto leader = endpoint::parse(log_->raft().leader().str());
    if (!leader || log_->raft().leader().str() == id_.str()) {
        answer(reply, status_unavailable, R"({"error":"no leader is known"})");
        return true;
    }
    http_head head{status_elsewhere, {}};
    const endpoint there{leader->ip, own_.control->port};
    head.fields.add("Location", "http://" + there.str() + request.target);
    reply->send(std::move(head), "");
    return true;
}

void control_daemon::on_call(const http_request& request, const reply_ptr& reply)
{
    const auto path = std::string_view{request.target}.substr(0, request.target.find('?'));
    const auto target = platform_.read_call(request.method, path);
    if (target.call == control_call::unknown) {
        answer(reply, status_unknown, R"({"error":"unknown call"})");
        return;
    }
    if (target.call == control_call::check_readiness) {
        answer(reply, is_ready(steady_now()) ? status_ok : status_unavailable);
        return;
    }
    if (send_elsewhere(request, reply)) {
        return;
    }
    switch (target.call) {
    case control_call::put_configuration:
        put_configuration(request, reply);
        break;
    case control_call::get_configuration:
        get_configuration(reply);
        break;
    case control_call::heartbeat:
        take_heartbeat(target.runner, request, reply);
        break;
    default:
        take_departure(target.runner, true, reply);
        break;
    }
}

bool control_daemon::is_ready(instant now) const
{
    return !stopping_ && (leads(now) || !log_->raft().leader().empty());
}

void control_daemon::put_configuration(const http_request& request, const reply_ptr& reply)
{
    reason why;
    const auto read = platform_.read_configuration(request.body, why);
    if (!read) {
        log_line("configuration").with("outcome", "invalid").with("reason", why.str()).write();
        answer(reply, status_bad, R"({"error":"the configuration is not valid"})");
        return;
    }
    const auto now = steady_now();
    const auto version = read->version;
    if (version <= state_.version()) {
        log_line("configuration")
            .with("outcome", "not newer")
            .with("version", version)
            .with("held", state_.version())
            .write();
        answer(reply, status_ok);
        return;
    }
    const bool proposed = log_->propose(
        now, fleet_state::put_configuration(version, request.body),
        [this, reply, version, now](const std::optional<std::string>& applied) {
            const auto status = applied ? status_ok : status_unavailable;
            figures_.observe_commit(steady_now() - now);
            figures_.count_call(std::string{name_of(control_call::put_configuration)}, status);
            log_line("configuration")
                .with("outcome", applied ? "accepted" : "unknown")
                .with("version", version)
                .with("held", state_.version())
                .write();
            if (applied) {
                push_view(steady_now());
            }
            answer(reply, status);
        });
    if (!proposed) {
        answer(reply, status_unavailable);
    }
}

void control_daemon::get_configuration(const reply_ptr& reply)
{
    if (state_.version() == 0) {
        answer(reply, status_unavailable, R"({"error":"no configuration yet"})");
        return;
    }
    answer(reply, status_ok, state_.document());
}

void control_daemon::take_heartbeat(const runner_id& runner, const http_request& request,
                                    const reply_ptr& reply)
{
    reason why;
    const auto read = platform_.read_announcement(runner, request.body, why);
    if (!read) {
        log_line("heartbeat_refused")
            .with("runner", runner.str())
            .with("reason", why.str())
            .write();
        answer(reply, status_bad, R"({"error":"the heartbeat is not valid"})");
        return;
    }
    const bool news = leader_.registry().find(runner) == nullptr;
    leader_.announce(steady_now(), *read);
    if (news) {
        log_line("runner")
            .with("runner", runner.str())
            .with("service", read->service.str())
            .with("address", read->address.str())
            .with("domain", read->fabric_domain.str())
            .with("sequence", read->sequence)
            .write();
    }
    if (read->draining && !state_.is_leaving(runner)) {
        take_departure(runner, false, reply);
        return;
    }
    answer(reply, status_ok, "{}");
}

void control_daemon::take_departure(const runner_id& runner, bool gone, const reply_ptr& reply)
{
    if (gone ? state_.is_gone(runner) : state_.is_leaving(runner)) {
        answer(reply, status_ok, "{}");
        return;
    }
    const bool proposed =
        log_->propose(steady_now(), fleet_state::depart(runner, gone),
                      [this, reply, runner, gone](const std::optional<std::string>& applied) {
                          log_line("departure")
                              .with("runner", runner.str())
                              .with("gone", gone)
                              .with("outcome", applied ? "accepted" : "unknown")
                              .write();
                          if (applied) {
                              push_view(steady_now());
                          }
                          answer(reply, applied ? status_ok : status_unavailable, "{}");
                      });
    if (!proposed) {
        answer(reply, status_unavailable);
    }
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

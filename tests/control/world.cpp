#include "control/world.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace cedarpoint::testing_support {
namespace {

using json = nlohmann::json;

// The times in the scenarios' golden files depend on these constants.
constexpr duration step_time = milliseconds{10};
constexpr duration load_time = milliseconds{500}; ///< from the load order until the engine is ready
constexpr milliseconds watch_interval{200};       ///< shorter than the product's default of 1000 ms
constexpr int group_size = 4;                     ///< nodes
constexpr int ports_per_zone = 100;
constexpr std::uint16_t first_daemon_port = 10'000; ///< in addresses only; no port is opened
constexpr int first_runner_port = 20'000;           ///< in addresses only; no port is opened

std::string zone_name(int n)
{
    return std::string(1, static_cast<char>('a' + n));
}

std::string zone_of(const std::string& name)
{
    return name.substr(0, 1);
}

} // namespace

world::world(world_options options) : options_{options}, random_{options.seed}
{
    std::vector<peer_spec> peers;
    for (int z = 0; z < options_.zones; ++z) {
        for (int n = 1; n <= options_.daemons; ++n) {
            peer_spec it;
            it.id = daemon_id{zone_name(z) + std::to_string(n)};
            it.address = {"127.0.0.1",
                          static_cast<std::uint16_t>(first_daemon_port + z * ports_per_zone + n)};
            it.failure_domain = failure_domain_id{zone_name(z)};
            it.root_voter = n == 1;
            it.domain_voter = n <= options_.disks;
            peers.push_back(it);
        }
        for (int n = 0; n < options_.nodes; ++n) {
            const auto name = zone_name(z) + "n" + std::to_string(n);
            engines_[name] = {name, zone_name(z), true, options_.checks_epoch, {}, {}};
            invariants_.expect_node(node_id{name});
        }
    }
    for (const auto& peer : peers) {
        auto it = std::make_unique<host>();
        it->daemon_settings.id = peer.id;
        it->daemon_settings.failure_domain = peer.failure_domain;
        it->daemon_settings.daemons = peer.address;
        it->daemon_settings.peers = peers;
        it->daemon_settings.watch_interval = watch_interval;
        it->has_disk = peer.domain_voter && !options_.diskless;
        it->daemon_settings.data_folder = "data";
        hosts_[peer.id.str()] = std::move(it);
        start(peer.id.str());
    }
}

world::~world() = default;

void world::start(const std::string& daemon)
{
    auto& it = at(daemon);
    if (it.plane != nullptr) {
        return;
    }
    it.paused = false;
    control_hooks hooks;
    hooks.send = [this, daemon](const daemon_id& to, const wire::envelope& what) {
        post(daemon, to.str(), what);
    };
    hooks.order = [this](const runner_order& order) { take_order(order); };
    hooks.log = [this](const group_event& event) {
        events.push_back(fmt::format("{} {} epoch {} [{}] {}", event.group.str(), event.state,
                                     event.assignment.value, event.nodes, event.reason));
    };
    hooks.wall_ms = [this] {
        return static_cast<std::uint64_t>(now_.time_since_epoch().count() / 1000);
    };
    control_plane::options options;
    options.daemon_settings = it.daemon_settings;
    // Distinct for each world, daemon and start. The golden files depend on this value.
    options.seed =
        options_.seed * 1000 + std::hash<std::string>{}(daemon) % 997 + (++it.starts) * 1'000'003;
    reason why;
    it.files.work_again();
    it.plane = control_plane::open(now_, std::move(options), it.has_disk ? &it.files : nullptr,
                                   std::move(hooks), why);
    if (it.plane == nullptr) {
        record_violation(daemon + " failed to start: " + why.str());
    }
}

void world::kill(const std::string& daemon)
{
    at(daemon).plane.reset();
    at(daemon).held.clear();
}

bool world::is_up(const std::string& daemon) const
{
    const auto& it = *hosts_.at(daemon);
    return it.plane != nullptr && !it.paused;
}

std::vector<std::string> world::names() const
{
    std::vector<std::string> out;
    for (const auto& [name, it] : hosts_) {
        out.push_back(name);
    }
    return out;
}

void world::cut(const std::string& from, const std::string& to, bool both_ways)
{
    cuts_.insert({from, to});
    if (both_ways) {
        cuts_.insert({to, from});
    }
}

void world::heal(const std::string& one, const std::string& other)
{
    cuts_.erase({one, other});
    cuts_.erase({other, one});
}

bool world::is_cut(const std::string& from, const std::string& to) const
{
    const bool same_zone = zone_of(from) == zone_of(to);
    return cuts_.contains({from, to}) || cuts_.contains({from, "*"}) || cuts_.contains({"*", to}) ||
           (!same_zone &&
            (cuts_.contains({zone_of(from), zone_of(to)}) || cuts_.contains({zone_of(from), "*"}) ||
             cuts_.contains({"*", zone_of(to)})));
}

void world::post(const std::string& from, const std::string& to, const wire::envelope& what)
{
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<int> delay(1, options_.longest_delay_ms);
    if (is_cut(from, to) || percent(random_) < options_.loss_percent) {
        return;
    }
    const int copies = percent(random_) < options_.double_percent ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        in_flight_.push_back({now_ + milliseconds{delay(random_)}, from, to, what});
    }
}

void world::deliver()
{
    std::vector<in_flight_message> due;
    const auto later =
        std::stable_partition(in_flight_.begin(), in_flight_.end(),
                              [&](const in_flight_message& it) { return it.due <= now_; });
    due.assign(std::make_move_iterator(in_flight_.begin()), std::make_move_iterator(later));
    in_flight_.erase(in_flight_.begin(), later);
    std::stable_sort(
        due.begin(), due.end(),
        [](const in_flight_message& a, const in_flight_message& b) { return a.due < b.due; });
    for (const auto& it : due) {
        auto& to = at(it.to);
        if (to.paused) {
            to.held.push_back(it.what); // delivered when it resumes
        }
        else if (to.plane != nullptr) {
            to.plane->receive(now_, it.what);
        }
    }
}

void world::poll_runners(host& it)
{
    if (now_ < it.next_poll) {
        return;
    }
    it.next_poll = now_ + watch_interval;
    for (const auto& runner : it.plane->watched(now_)) {
        const auto& engine = engines_.at(runner.node.str());
        if (engine.alive) {
            it.plane->on_report(now_, runner.id, engine.state);
        }
    }
}

void world::take_order(const runner_order& order)
{
    auto& it = engines_.at(order.runner.str().substr(2)); // a runner's id is r-<node>
    if (!it.alive || (it.checks_epoch && order.assignment < it.state.assignment)) {
        return;
    }
    it.state.assignment = order.assignment;
    it.state.group = order.group.str();
    it.state.phase = order.load ? runner_phase::loading : runner_phase::idle;
    it.loaded_at = order.load ? std::optional{now_ + load_time} : std::nullopt;
}

void world::step()
{
    now_ += step_time;
    ++steps_;
    deliver();
    for (auto& [name, it] : engines_) {
        if (it.loaded_at && now_ >= *it.loaded_at) {
            it.loaded_at.reset();
            it.state.phase = runner_phase::ready;
        }
    }
    for (auto& [name, it] : hosts_) {
        if (it->plane == nullptr || it->paused) {
            continue;
        }
        for (const auto& what : std::exchange(it->held, {})) {
            it->plane->receive(now_, what);
        }
        poll_runners(*it);
        it->plane->tick(now_);
        if (it->plane->failure()) {
            kill(name); // the real process would exit
        }
    }
    check();
}

void world::run(milliseconds time)
{
    const auto until = now_ + time;
    while (now_ < until) {
        step();
    }
}

std::optional<milliseconds> world::run_until(const std::function<bool()>& done, milliseconds limit)
{
    const auto from = now_;
    while (!done()) {
        if (now_ - from >= limit) {
            return {};
        }
        step();
    }
    return std::chrono::duration_cast<milliseconds>(now_ - from);
}

std::string world::file(std::uint64_t based_on, const std::string& change, int extra) const
{
    json out{{"based_on", based_on},
             {"change_id", change},
             {"models", json::array({{{"id", "m"}, {"versions", {"1"}}}})}};
    for (int z = 0; z < options_.zones; ++z) {
        const auto zone = zone_name(z);
        out["failure_domains"].push_back(zone);
        out["fabric_domains"].push_back({{"id", "f-" + zone}, {"failure_domain", zone}});
        out["replica_groups"].push_back({{"id", zone},
                                         {"model", "m"},
                                         {"version", "1"},
                                         {"failure_domain", zone},
                                         {"size", group_size},
                                         {"count", options_.groups + extra}});
        out["routing_rules"].push_back({{"model", "m"}, {"replica_groups", {zone}}});
        out["client_accounts"].push_back({{"id", "acme-" + zone},
                                          {"key_sha256", std::string(64, zone.front())},
                                          {"home_failure_domain", zone}});
    }
    int port = first_runner_port;
    for (const auto& [name, it] : engines_) {
        out["nodes"].push_back(
            {{"id", name}, {"fabric_domain", "f-" + it.zone}, {"accelerators", 8}});
        out["runners"].push_back({{"id", "r-" + name},
                                  {"node", name},
                                  {"address", "127.0.0.1:" + std::to_string(++port)},
                                  {"checks_epoch", it.checks_epoch}});
    }
    return out.dump();
}

void world::apply(const std::string& daemon, std::uint64_t based_on, const std::string& change,
                  int extra)
{
    wire::config_change it;
    it.set_based_on(based_on);
    it.set_change_id(change);
    it.set_text(file(based_on, change, extra));
    for (int z = 0; z < options_.zones; ++z) {
        for (int n = 0; n < options_.groups + extra; ++n) {
            invariants_.expect_group(group_of(pool_id{zone_name(z)}, n));
        }
    }
    plane(daemon).submit_configuration(
        now_, std::move(it), [this, change](const std::optional<wire::command_answer>& answer) {
            if (!answer) {
                answers.push_back(change + " no answer");
                return;
            }
            static constexpr const char* names[] = {"accepted", "conflict", "reused id", "invalid"};
            const auto verdict = answer->change_verdict();
            answers.push_back(
                fmt::format("{} {} {}", change, names[verdict],
                            verdict == 0 ? answer->revision() : answer->conflict_with()));
        });
}

void world::claim(const std::string& daemon, const std::string& key, const std::string& holder)
{
    const ask_claim ask{
        request_id{holder}, {client_account_id{"acme"}, key}, failure_domain_id{"a"}};
    plane(daemon).begin_claim(now_, ask, [this, key, holder](claim_verdict verdict) {
        static constexpr const char* names[] = {"granted", "running", "already ran", "may have run",
                                                "unavailable"};
        answers.push_back(
            fmt::format("claim {} by {}: {}", key, holder, names[static_cast<int>(verdict)]));
        if (verdict == claim_verdict::granted) {
            granted[key].insert(holder);
        }
    });
}

void world::finish(const std::string& daemon, const std::string& key, const std::string& holder,
                   claim_outcome outcome)
{
    if (outcome == claim_outcome::not_run) {
        granted[key].erase(holder); // it has not run and will not run
    }
    plane(daemon).finish_claim(
        now_,
        {request_id{holder}, {client_account_id{"acme"}, key}, failure_domain_id{"a"}, outcome});
}

void world::drain(const std::string& daemon, const std::string& kind, const std::string& id,
                  bool draining)
{
    wire::drain_change it;
    it.set_kind(kind);
    it.set_id(id);
    it.set_draining(draining);
    plane(daemon).submit_drain(
        now_, it, [this, id](const std::optional<wire::command_answer>& answer) {
            answers.push_back(
                "drain " + id +
                (answer ? answer->refused().empty() ? " done" : " refused" : " no answer"));
        });
}

std::string world::leader_of(const std::string& zone) const
{
    for (const auto& [name, it] : hosts_) {
        if (zone_of(name) == zone && is_up(name) &&
            it->plane->domain_log().raft().holds_lease(now_)) {
            return name;
        }
    }
    return "none";
}

std::string world::root_leader() const
{
    for (const auto& [name, it] : hosts_) {
        if (is_up(name) && it->plane->root_log() != nullptr &&
            it->plane->root_log()->raft().holds_lease(now_)) {
            return name;
        }
    }
    return "none";
}

int world::usable_groups(const std::string& zone) const
{
    std::set<group_id> usable;
    for (const auto& [name, it] : hosts_) {
        if (!is_up(name) || zone_of(name) != zone) {
            continue;
        }
        for (const auto& place : it->plane->targets(now_, [](const runner_id&) { return 0; })) {
            if (place.group && place.failure_domain.str() == zone && !place.draining &&
                place.present && now_ < place.valid_until) {
                usable.insert(*place.group);
            }
        }
    }
    return static_cast<int>(usable.size());
}

bool world::in_force_everywhere(std::uint64_t revision) const
{
    return std::all_of(hosts_.begin(), hosts_.end(), [&](const auto& it) {
        return it.second->plane == nullptr ||
               it.second->plane->domain().in_force().value >= revision;
    });
}

// --- invariants ---------------------------------------------------------------------------------

void world::record_violation(const std::string& what)
{
    if (violation_.empty()) {
        violation_ = fmt::format("seed {} at {} ms: {}", options_.seed,
                                 to_ms(now_ - instant{seconds{1000}}), what);
    }
}

void world::check()
{
    // The maximum number of messages in flight. Nine daemons without faults have a few dozen.
    constexpr std::size_t max_in_flight = 2000;
    if (in_flight_.size() > max_in_flight) {
        record_violation("too many messages in flight");
    }
    check_leases();
    check_routes();
    check_configuration();
    for (const auto& [key, holders] : granted) {
        if (holders.size() > 1) {
            record_violation("claim " + key + " was granted to " + *holders.begin() + " and to " +
                             *holders.rbegin());
        }
    }
}

void world::check_leases()
{
    std::map<std::string, std::string> holder;
    for (const auto& [host_name, it] : hosts_) {
        const auto& name =
            host_name; // not every compiler lets a lambda capture a structured binding
        if (it->plane == nullptr) {
            continue; // paused daemons are checked: their leases must expire by the clock
        }
        const auto check_one = [&](const std::string& log, const replicated_log& replica) {
            if (!replica.raft().holds_lease(now_)) {
                return;
            }
            const auto [found, added] = holder.emplace(log, name);
            if (!added) {
                record_violation(fmt::format("two lease holders for log {}: {} and {}", log,
                                             found->second, name));
            }
        };
        check_one(zone_of(name), it->plane->domain_log());
        if (it->plane->root_log() != nullptr) {
            check_one("root", *it->plane->root_log());
        }
    }
}

void world::check_routes()
{
    for (const auto& [name, it] : hosts_) {
        if (it->plane == nullptr) {
            continue;
        }
        if (const auto wrong = invariants_.check(it->plane->domain().groups()); !wrong.empty()) {
            record_violation(fmt::format("{}: {}", name, wrong));
        }
        for (const auto& place : it->plane->targets(now_, [](const runner_id&) { return 0; })) {
            if (!place.group || place.draining || now_ >= place.valid_until) {
                continue;
            }
            // A runner that does not check epochs would accept this request for its new group.
            const auto& engine = engines_.at(place.upstream.str().substr(2));
            if (!engine.checks_epoch && engine.state.assignment != place.assignment) {
                record_violation(name + " may send to " + place.group->str() +
                                 " a request that runner " + place.upstream.str() +
                                 " would accept for another group");
            }
        }
    }
}

void world::check_configuration()
{
    for (const auto& [name, it] : hosts_) {
        if (it->plane == nullptr) {
            continue;
        }
        const auto& accepted = it->plane->domain().accepted();
        // A daemon at revision 0 takes no calls. A zone that lost its only disk restarts there.
        const bool takes_calls = it->plane->granted_at(now_) && accepted.revision() > 0;
        if (takes_calls) {
            if (accepted.revision() < it->newest_revision) {
                record_violation(name + " went back to configuration revision " +
                                 std::to_string(accepted.revision()));
            }
            it->newest_revision = accepted.revision();
        }
        if (accepted.revision() > 0) {
            const auto [found, added] = texts_.emplace(accepted.revision(), accepted.text());
            if (!added && found->second != accepted.text()) {
                record_violation("different configuration texts for revision " +
                                 std::to_string(accepted.revision()));
            }
        }
    }
}

} // namespace cedarpoint::testing_support

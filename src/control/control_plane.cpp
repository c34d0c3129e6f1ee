#include "cedarpoint/control/control_plane.h"

#include "cedarpoint/core/hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace cedarpoint {
namespace {

constexpr const char* root_log_id = "root";
constexpr std::uint32_t protocol_version = 1;
constexpr duration look_interval = milliseconds{100};
constexpr duration pull_interval = milliseconds{500};
constexpr duration peer_silence = seconds{4}; ///< a daemon not heard for this long watches nothing
constexpr duration operator_limit = seconds{10};
constexpr duration claim_limit = seconds{3};
constexpr duration finish_limit = seconds{60};
constexpr std::size_t watchers_per_runner = 2;

wire::command_answer to_wire(const domain_answer& it)
{
    wire::command_answer out;
    out.set_refused(it.refused);
    out.set_claim_verdict(static_cast<std::uint32_t>(it.verdict));
    return out;
}

wire::command_answer to_wire(const change_outcome& it)
{
    wire::command_answer out;
    out.set_change_verdict(static_cast<std::uint32_t>(it.verdict));
    out.set_revision(it.accepted_as.value);
    out.set_conflict_with(it.conflict_with.value);
    out.set_conflict_change(it.conflict_change.str());
    for (const auto& one : it.found) {
        auto* entry = out.add_faults();
        entry->set_path(one.path);
        entry->set_text(one.text);
    }
    return out;
}

std::string join_nodes(const std::vector<node_id>& nodes)
{
    std::string out;
    for (const auto& it : nodes) {
        out += (out.empty() ? "" : ",") + it.str();
    }
    return out;
}

wire::runner_entry to_wire(const runner_id& id, const runner_report& it)
{
    wire::runner_entry out;
    out.set_runner(id.str());
    out.set_phase(static_cast<std::uint32_t>(it.phase));
    out.set_epoch(it.assignment.value);
    out.set_group(it.group);
    out.set_in_flight(it.in_flight);
    out.set_leaving(it.leaving);
    return out;
}

std::optional<runner_report> from_wire(const wire::runner_entry& it)
{
    if (it.phase() > static_cast<std::uint32_t>(runner_phase::ready)) {
        return {};
    }
    return runner_report{static_cast<runner_phase>(it.phase()),
                         {it.epoch()},
                         it.group(),
                         it.in_flight(),
                         it.leaving()};
}

} // namespace

/// The failure domain's state behind its log.
class control_plane::domain_machine final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        wire::command in;
        if (!in.ParseFromString(command)) {
            return to_wire(domain_answer{"not a command", {}}).SerializeAsString();
        }
        return to_wire(state.apply(in)).SerializeAsString();
    }
    [[nodiscard]] std::string save() const override { return state.save(); }
    bool restore(const std::string& bytes) override { return state.restore(bytes); }

    domain_state state;
};

/// The root's state behind its log.
class control_plane::root_machine final : public replicated_state {
public:
    std::string apply(const std::string& command) override
    {
        wire::command in;
        if (!in.ParseFromString(command) || !in.has_config()) {
            return to_wire(domain_answer{"the root's log takes configurations only", {}})
                .SerializeAsString();
        }
        return to_wire(state.apply(in.config())).SerializeAsString();
    }
    [[nodiscard]] std::string save() const override { return state.save(); }
    bool restore(const std::string& bytes) override { return state.restore(bytes); }

    root_state state;
};

control_plane::control_plane(options options, control_hooks hooks)
    : options_{std::move(options)}, hooks_{std::move(hooks)},
      domain_{std::make_unique<domain_machine>()},
      client_{{[this](instant now, const std::string& log, const std::string& command, auto done) {
                   auto* it = find_log(log);
                   return it != nullptr && it->propose(now, command, std::move(done));
               },
               [this](const std::string& log) { return daemons_of(log); },
               [this](const daemon_id& to, wire::envelope it) { send(to, std::move(it)); }},
              options_.seed},
      controller_{options_.control, make_best_fit_placement()},
      watch_{3 * duration{options_.own.watch_interval}}
{
}

control_plane::~control_plane() = default;

std::unique_ptr<control_plane> control_plane::open(instant now, options options, file_system* files,
                                                   control_hooks hooks, reason& why)
{
    options.control.domain = options.own.failure_domain;
    options.control.grant_ttl = options.own.grant_ttl;
    std::unique_ptr<control_plane> out{new control_plane{std::move(options), std::move(hooks)}};
    if (!out->open_logs(now, files, why)) {
        return {};
    }
    return out;
}

std::string control_plane::domain_log_name() const
{
    return "domain-" + options_.own.failure_domain.str();
}

bool control_plane::open_logs(instant now, file_system* files, reason& why)
{
    const auto& own = options_.own;
    wire::membership domain_members;
    wire::membership root_members;
    const auto add = [](wire::membership& to, const daemon_id& id, bool voter) {
        auto* it = to.add_members();
        it->set_id(id.str());
        it->set_voter(voter);
    };
    if (own.peers.empty()) {
        add(domain_members, own.id, true);
        add(root_members, own.id, true);
    }
    for (const auto& it : own.peers) {
        if (it.failure_domain == own.failure_domain) {
            add(domain_members, it.id, it.domain_voter);
        }
        if (it.root_voter) {
            add(root_members, it.id, true);
        }
    }
    const auto& all = root_members.members();
    if (std::any_of(all.begin(), all.end(),
                    [&](const auto& e) { return e.id() == own.id.str(); })) {
        root_ = std::make_unique<root_machine>();
        root_log_ = open_log(now, root_log_id, root_members, files, *root_, why);
        if (root_log_ == nullptr) {
            return false;
        }
    }
    domain_log_ = open_log(now, domain_log_name(), domain_members, files, *domain_, why);
    return domain_log_ != nullptr;
}

std::unique_ptr<replicated_log> control_plane::open_log(instant now, const std::string& name,
                                                        wire::membership members,
                                                        file_system* files, replicated_state& state,
                                                        reason& why)
{
    replicated_log::options it;
    it.self = member_id{options_.own.id.str()};
    it.bootstrap = std::move(members);
    it.raft = options_.raft;
    it.seed = options_.seed ^ hash_of(name);
    const auto send_raft = [this, name](const member_id& to, const wire::raft_message& message) {
        wire::envelope out;
        out.mutable_raft()->set_log(name);
        *out.mutable_raft()->mutable_message() = message;
        send(daemon_id{to.str()}, std::move(out));
    };
    return replicated_log::open(now, std::move(it), files, options_.own.data_folder + "/" + name,
                                state, send_raft, why);
}

replicated_log* control_plane::find_log(const std::string& name) const
{
    if (name == root_log_id) {
        return root_log_.get();
    }
    return name == domain_log_name() ? domain_log_.get() : nullptr;
}

std::vector<daemon_id> control_plane::daemons_of(const std::string& log) const
{
    std::vector<daemon_id> out;
    if (const auto* it = find_log(log); it != nullptr && !it->raft().leader().empty()) {
        out.emplace_back(it->raft().leader().str());
    }
    for (const auto& it : options_.own.peers) {
        const bool has_part = log == root_log_id
                                  ? it.root_voter
                                  : it.domain_voter && log == "domain-" + it.failure_domain.str();
        if (has_part && it.id != options_.own.id) {
            out.push_back(it.id);
        }
    }
    return out;
}

void control_plane::send(const daemon_id& to, wire::envelope envelope)
{
    if (to == options_.own.id) {
        return;
    }
    envelope.set_version(protocol_version);
    envelope.set_from(options_.own.id.str());
    envelope.set_from_member(options_.own.id.str());
    hooks_.send(to, envelope);
}

// --- time ---------------------------------------------------------------------------------------

void control_plane::tick(instant now)
{
    domain_log_->tick(now);
    if (root_log_ != nullptr) {
        root_log_->tick(now);
    }
    client_.tick(now);
    share_reports(now);
    if (now >= next_look_) {
        next_look_ = now + look_interval;
        lead_domain(now);
    }
    if (now >= next_pull_) {
        next_pull_ = now + pull_interval;
        follow_root(now);
        pull_views(now);
    }
    was_ready_ = was_ready_ || granted_at(now).has_value();
}

void control_plane::lead_domain(instant now)
{
    const auto& raft = domain_log_->raft();
    if (!raft.holds_lease(now)) {
        led_ = false;
        return;
    }
    if (!led_) {
        led_ = true;
        controller_.reset();
        proposed_.clear();
        proposing_copy_ = false;
    }
    const auto& state = domain_->state;
    const auto step =
        controller_.step(now, *state.config(), state.groups(), watch_, state.drains());
    for (const auto& it : step.orders) {
        hooks_.order(it);
    }
    for (const auto& it : step.proposals) {
        propose_group(now, it);
    }
}

void control_plane::propose_group(instant now, const group_proposal& it)
{
    if (!proposed_.insert(it.record.id).second) {
        return; // the earlier proposal is still under way
    }
    wire::command command;
    auto* change = command.mutable_group();
    *change->mutable_group() = to_wire(it.record);
    change->mutable_group()->set_state(static_cast<std::uint32_t>(it.to));
    change->set_epoch_floor(it.floor.value);
    change->set_reason(it.why);
    const auto done = [this, it](std::optional<std::string> bytes) {
        proposed_.erase(it.record.id);
        wire::command_answer answer;
        if (!bytes || !answer.ParseFromString(*bytes)) {
            return;
        }
        const auto* now_is = domain_->state.groups().find(it.record.id);
        const auto assignment = now_is == nullptr ? it.record.assignment : now_is->assignment;
        hooks_.log({it.record.id,
                    answer.refused().empty() ? std::string{name_of(it.to)} : "refused", assignment,
                    join_nodes(it.record.nodes),
                    answer.refused().empty() ? it.why : answer.refused()});
    };
    if (!domain_log_->propose(now, command.SerializeAsString(), done)) {
        proposed_.erase(it.record.id);
    }
}

void control_plane::follow_root(instant now)
{
    if (!domain_log_->raft().holds_lease(now)) {
        return;
    }
    if (root_ != nullptr) {
        take_configuration(now, root_->state.accepted());
    }
    // Also with a part in the root's log: it may be the one that is cut off from the others.
    const auto all = daemons_of(root_log_id);
    if (!all.empty()) {
        wire::envelope out;
        out.mutable_config_pull()->set_have_revision(domain_->state.in_force().value);
        send(all[pull_from_++ % all.size()], std::move(out));
    }
}

void control_plane::take_configuration(instant now, const wire::accepted_configuration& accepted)
{
    const bool news = accepted.revision() > domain_->state.in_force().value;
    if (!news || proposing_copy_ || !domain_log_->raft().holds_lease(now)) {
        return;
    }
    wire::command command;
    *command.mutable_copy() = accepted;
    proposing_copy_ = true;
    const auto done = [this](const std::optional<std::string>&) { proposing_copy_ = false; };
    if (!domain_log_->propose(now, command.SerializeAsString(), done)) {
        proposing_copy_ = false;
    }
}

void control_plane::share_reports(instant now)
{
    if (now < next_share_) {
        return;
    }
    next_share_ = now + options_.own.watch_interval / 2;
    wire::envelope out;
    auto* reports = out.mutable_reports();
    for (const auto& [id, it] : own_reports_) {
        *reports->add_reports() = to_wire(id, it);
    }
    own_reports_.clear();
    for (const auto& it : options_.own.peers) {
        if (it.failure_domain == options_.own.failure_domain) {
            send(it.id, out); // also when empty: it says that this daemon is there to watch
        }
    }
}

void control_plane::pull_views(instant now)
{
    std::map<failure_domain_id, std::vector<daemon_id>> voters;
    for (const auto& it : options_.own.peers) {
        if (it.failure_domain != options_.own.failure_domain && it.domain_voter) {
            voters[it.failure_domain].push_back(it.id);
        }
    }
    for (const auto& [domain, all] : voters) {
        wire::envelope out;
        auto* pull = out.mutable_view_pull();
        pull->set_domain(domain.str());
        pull->set_stamp(now.time_since_epoch().count());
        pull->set_have_version(others_.version_of(domain));
        pull->set_asker(options_.own.id.str());
        send(all[pull_from_ % all.size()], std::move(out));
    }
    ++pull_from_;
}

// --- messages -----------------------------------------------------------------------------------

void control_plane::receive(instant now, const wire::envelope& in)
{
    if (in.version() != protocol_version) {
        return;
    }
    heard_[daemon_id{in.from()}] = now;
    switch (in.body_case()) {
    case wire::envelope::kRaft:
        return on_raft(now, in);
    case wire::envelope::kSubmit:
        return on_submit(now, in);
    case wire::envelope::kSubmitAnswer:
        return client_.on_answer(now, in.submit_answer());
    case wire::envelope::kConfigPull:
        return on_config_pull(in);
    case wire::envelope::kConfigPush:
        return take_configuration(now, in.config_push());
    case wire::envelope::kReports:
        return on_reports(now, in);
    case wire::envelope::kViewPull:
        return on_view_pull(now, in);
    case wire::envelope::kView:
        others_.on_view(now, in.view());
        return;
    default:
        return;
    }
}

void control_plane::on_raft(instant now, const wire::envelope& in)
{
    if (auto* log = find_log(in.raft().log())) {
        log->receive(now, member_id{in.from_member()}, in.raft().message());
    }
}

void control_plane::on_submit(instant now, const wire::envelope& in)
{
    const daemon_id from{in.from()};
    const auto call = in.submit().call();
    const auto answer = [this, from, call](const std::optional<std::string>& bytes,
                                           const std::string& leader) {
        wire::envelope out;
        auto* it = out.mutable_submit_answer();
        it->set_call(call);
        it->set_applied(bytes.has_value());
        it->set_answer(bytes.value_or(""));
        it->set_leader(leader);
        send(from, std::move(out));
    };
    auto* log = find_log(in.submit().log());
    const auto done = [answer](const std::optional<std::string>& bytes) { answer(bytes, ""); };
    if (log != nullptr && log->propose(now, in.submit().command(), done)) {
        return;
    }
    answer({}, log == nullptr ? "" : log->raft().leader().str());
}

void control_plane::on_config_pull(const wire::envelope& in)
{
    if (root_ != nullptr && root_->state.in_force().value > in.config_pull().have_revision()) {
        wire::envelope out;
        *out.mutable_config_push() = root_->state.accepted();
        send(daemon_id{in.from()}, std::move(out));
    }
}

void control_plane::on_report(instant now, const runner_id& runner, const runner_report& report)
{
    watch_.on_report(now, runner, report);
    own_reports_[runner] = report;
}

void control_plane::on_reports(instant now, const wire::envelope& in)
{
    for (const auto& it : in.reports().reports()) {
        if (const auto report = from_wire(it)) {
            watch_.on_report(now, runner_id{it.runner()}, *report);
        }
    }
}

void control_plane::on_view_pull(instant now, const wire::envelope& in)
{
    const auto& pull = in.view_pull();
    const auto& raft = domain_log_->raft();
    if (pull.domain() != options_.own.failure_domain.str()) {
        return;
    }
    if (!raft.holds_lease(now)) {
        const bool first = pull.asker() == in.from();
        if (first && !raft.leader().empty()) {
            wire::envelope on;
            *on.mutable_view_pull() = pull;
            send(daemon_id{raft.leader().str()}, std::move(on));
        }
        return;
    }
    const auto& state = domain_->state;
    wire::envelope out;
    auto* view = out.mutable_view();
    view->set_domain(pull.domain());
    view->set_stamp(pull.stamp());
    view->set_version(domain_log_->applied());
    view->set_unchanged(pull.have_version() == domain_log_->applied());
    for (const auto& [id, it] : state.groups().records()) {
        if (!view->unchanged()) {
            *view->add_groups() = to_wire(it);
        }
        const auto* runner = state.config()->find_runner_on(it.nodes.front());
        const auto report = runner == nullptr ? std::nullopt : watch_.report_of(runner->id);
        if (report && report->in_flight > 0) {
            *view->add_loads() = to_wire(runner->id, *report);
        }
    }
    const auto add_drains = [&](const char* kind, const auto& marks) {
        for (const auto& it : marks) {
            auto* entry = view->add_drains();
            entry->set_kind(kind);
            entry->set_id(it.str());
        }
    };
    if (!view->unchanged()) {
        add_drains("node", state.drains().nodes);
        add_drains("group", state.drains().groups);
        add_drains("runner", state.drains().runners);
    }
    send(daemon_id{pull.asker()}, std::move(out));
}

// --- operators and callers ----------------------------------------------------------------------

void control_plane::submit_configuration(instant now, wire::config_change change,
                                         answer_handler done)
{
    wire::command command;
    *command.mutable_config() = std::move(change);
    client_.submit(now, root_log_id, command, operator_limit, std::move(done));
}

void control_plane::submit_drain(instant now, wire::drain_change change, answer_handler done)
{
    // The mark belongs to the domain that the thing lies in; unknown things are marked here.
    const auto& config = *domain_->state.config();
    failure_domain_id owner = options_.own.failure_domain;
    const auto* node = config.find_node(node_id{change.id()});
    for (const auto& it : config.runners) {
        if (change.kind() == "runner" && it.id.str() == change.id()) {
            node = config.find_node(it.node);
        }
    }
    if (node != nullptr && change.kind() != "group") {
        owner = config.domain_of(*node);
    }
    for (const auto& service : config.services) {
        for (const auto& it : service.upstreams) {
            if (change.kind() == "runner" && it.id.str() == change.id()) {
                owner = it.failure_domain;
            }
        }
    }
    const auto slash = change.id().rfind('/');
    if (const auto* pool = config.find_pool(pool_id{change.id().substr(0, slash)});
        change.kind() == "group" && pool != nullptr) {
        owner = pool->failure_domain;
    }
    wire::command command;
    *command.mutable_drain() = std::move(change);
    client_.submit(now, "domain-" + owner.str(), command, operator_limit, std::move(done));
}

void control_plane::begin_claim(instant now, const ask_claim& ask,
                                std::function<void(claim_verdict)> done)
{
    wire::command command;
    auto* it = command.mutable_claim();
    it->set_account(ask.key.account.str());
    it->set_key(ask.key.key);
    it->set_request(ask.request.str());
    it->set_now_ms(hooks_.wall_ms());
    const auto answered = [done =
                               std::move(done)](const std::optional<wire::command_answer>& answer) {
        const bool known = answer && answer->claim_verdict() <=
                                         static_cast<std::uint32_t>(claim_verdict::unavailable);
        done(known ? static_cast<claim_verdict>(answer->claim_verdict())
                   : claim_verdict::unavailable);
    };
    client_.submit(now, "domain-" + ask.home.str(), command, claim_limit, answered);
}

void control_plane::finish_claim(instant now, const end_claim& end)
{
    wire::command command;
    auto* it = command.mutable_finish();
    it->set_account(end.key.account.str());
    it->set_key(end.key.key);
    it->set_request(end.request.str());
    it->set_outcome(static_cast<std::uint32_t>(end.outcome));
    client_.submit(now, "domain-" + end.home.str(), command, finish_limit, {});
}

// --- views --------------------------------------------------------------------------------------

const domain_state& control_plane::domain() const
{
    return domain_->state;
}

const root_state* control_plane::root() const
{
    return root_ == nullptr ? nullptr : &root_->state;
}

std::optional<instant> control_plane::granted_at(instant now) const
{
    return domain_log_->raft().granted_at(now);
}

bool control_plane::is_ready(instant now) const
{
    return was_ready_ || granted_at(now).has_value();
}

std::optional<reason> control_plane::failure() const
{
    if (domain_log_->failure()) {
        return domain_log_->failure();
    }
    return root_log_ == nullptr ? std::nullopt : root_log_->failure();
}

int control_plane::stranded_accelerators(instant now) const
{
    const auto& config = *domain_->state.config();
    int out = 0;
    for (const auto& node : config.nodes) {
        const auto* runner = config.find_runner_on(node.id);
        const auto* group = domain_->state.groups().find_by_node(node.id);
        const bool own = config.domain_of(node) == options_.own.failure_domain;
        const bool serves = group != nullptr && group->state == group_state::serving;
        if (own && !serves && runner != nullptr && watch_.is_present(now, runner->id)) {
            out += node.accelerators;
        }
    }
    return out;
}

std::vector<runner_spec> control_plane::watched(instant now) const
{
    const auto& own = options_.own;
    std::vector<daemon_id> watchers{own.id};
    for (const auto& it : own.peers) {
        const auto heard = heard_.find(it.id);
        if (it.failure_domain == own.failure_domain && it.id != own.id && heard != heard_.end() &&
            now - heard->second < peer_silence) {
            watchers.push_back(it.id);
        }
    }
    std::vector<runner_spec> out;
    const auto& config = *domain_->state.config();
    for (const auto& runner : config.runners) {
        const auto* node = config.find_node(runner.node);
        if (node == nullptr || config.domain_of(*node) != own.failure_domain) {
            continue;
        }
        const auto mine = hash_of(own.id.str() + "\n" + runner.id.str());
        const auto before =
            std::count_if(watchers.begin(), watchers.end(), [&](const daemon_id& it) {
                return hash_of(it.str() + "\n" + runner.id.str()) < mine;
            });
        if (static_cast<std::size_t>(before) < watchers_per_runner) {
            out.push_back(runner);
        }
    }
    return out;
}

void control_plane::add_group_targets(instant now, const group_record& it, instant valid_until,
                                      const failure_domain_id& home, target_table& out) const
{
    const auto* runner = domain_->state.config()->find_runner_on(it.nodes.front());
    if (runner == nullptr ||
        (it.state != group_state::serving && it.state != group_state::draining)) {
        return;
    }
    target place;
    place.upstream = runner->id;
    place.group = it.id;
    place.pool = it.pool;
    place.assignment = it.assignment;
    place.address = runner->address;
    place.slots = runner->slots;
    place.failure_domain = home;
    place.valid_until = valid_until;
    place.draining = it.state == group_state::draining;
    if (home == options_.own.failure_domain) {
        place.present = std::all_of(it.nodes.begin(), it.nodes.end(), [&](const node_id& node) {
            const auto* member = domain_->state.config()->find_runner_on(node);
            return member != nullptr && watch_.is_present(now, member->id);
        });
    }
    out.push_back(std::move(place));
}

target_table control_plane::targets(instant now,
                                    const std::function<int(const runner_id&)>& own_in_flight) const
{
    target_table out;
    const duration ttl = options_.own.grant_ttl;
    const auto& state = domain_->state;
    const auto grant = granted_at(now);
    const auto until = grant ? *grant + ttl : instant{};
    for (const auto& [id, it] : state.groups().records()) {
        add_group_targets(now, it, until, options_.own.failure_domain, out);
    }
    for (const auto& [domain, view] : others_.all()) {
        for (const auto& it : view.groups) {
            add_group_targets(now, it, view.granted ? *view.granted + ttl : instant{}, domain, out);
        }
    }
    for (auto& it : out) {
        const auto report = watch_.report_of(it.upstream);
        const auto found = others_.all().find(it.failure_domain);
        int total = report ? report->in_flight : 0;
        if (found != others_.all().end()) {
            const auto load = found->second.in_flight.find(it.upstream);
            total = load == found->second.in_flight.end() ? 0 : load->second;
        }
        it.reported_others = std::max(0, total - own_in_flight(it.upstream));
    }
    for (const auto& service : state.config()->services) {
        for (const auto& it : service.upstreams) {
            target place;
            place.upstream = it.id;
            place.service = service.id;
            place.address = it.address;
            place.slots = it.slots;
            place.failure_domain = it.failure_domain;
            const auto found = others_.all().find(it.failure_domain);
            if (it.failure_domain == options_.own.failure_domain) {
                place.valid_until = until;
                place.draining = state.drains().runners.contains(it.id);
            }
            else if (found != others_.all().end() && found->second.granted) {
                place.valid_until = *found->second.granted + ttl;
                place.draining = found->second.drains.runners.contains(it.id);
            }
            out.push_back(std::move(place));
        }
    }
    return out;
}

} // namespace cedarpoint

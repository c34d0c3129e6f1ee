// The daemon's replicas of the logs and its work while it leads its domain.

#include "control/control_plane_priv.h"

#include "cedarpoint/consensus/membership_policy.h"
#include "cedarpoint/core/hash.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// The interval between steps of the group controller.
constexpr duration controller_interval = milliseconds{100};
/// The interval between pulls of the root's configuration and of the other domains' views.
constexpr duration pull_interval = milliseconds{500};
/// A runner counts as absent after this many watch intervals without a report.
constexpr int absent_after_intervals = 3;
/// The number of times per watch interval that reports are sent to the domain's other daemons.
constexpr int shares_per_watch_interval = 2;

std::string join_nodes(const std::vector<node_id>& nodes)
{
    std::string out;
    for (const auto& it : nodes) {
        out += (out.empty() ? "" : ",") + it.str();
    }
    return out;
}

} // namespace

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
      watch_{absent_after_intervals * duration{options_.daemon_settings.watch_interval}}
{
}

control_plane::~control_plane() = default;

std::unique_ptr<control_plane> control_plane::open(instant now, options options, file_system* files,
                                                   control_hooks hooks, reason& why)
{
    options.control.domain = options.daemon_settings.failure_domain;
    options.control.grant_ttl = options.daemon_settings.grant_ttl;
    std::unique_ptr<control_plane> out{new control_plane{std::move(options), std::move(hooks)}};
    if (!out->open_logs(now, files, why)) {
        return {};
    }
    return out;
}

std::string control_plane::domain_log_name() const
{
    return "domain-" + options_.daemon_settings.failure_domain.str();
}

bool control_plane::open_logs(instant now, file_system* files, reason& why)
{
    const auto& settings = options_.daemon_settings;
    wire::membership domain_members;
    wire::membership root_members;
    const auto add = [](wire::membership& to, const daemon_id& id, bool voter) {
        auto* it = to.add_members();
        it->set_id(id.str());
        it->set_voter(voter);
    };
    if (settings.peers.empty()) {
        add(domain_members, settings.id, true);
        add(root_members, settings.id, true);
    }
    for (const auto& it : settings.peers) {
        if (it.failure_domain == settings.failure_domain) {
            add(domain_members, it.id, it.domain_voter);
        }
        if (it.root_voter) {
            add(root_members, it.id, true);
        }
    }
    const auto& all = root_members.members();
    if (std::any_of(all.begin(), all.end(),
                    [&](const auto& e) { return e.id() == settings.id.str(); })) {
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
    it.self = member_id{options_.daemon_settings.id.str()};
    it.bootstrap = std::move(members);
    it.raft = options_.raft;
    it.seed = options_.seed ^ hash_of(name);
    it.clock = options_.clock;
    const auto send_raft = [this, name](const member_id& to, const wire::raft_message& message) {
        wire::envelope out;
        out.mutable_raft()->set_log(name);
        *out.mutable_raft()->mutable_message() = message;
        send(daemon_id{to.str()}, std::move(out));
    };
    return replicated_log::open(now, std::move(it), files,
                                options_.daemon_settings.data_folder + "/" + name, state, send_raft,
                                why);
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
    for (const auto& it : options_.daemon_settings.peers) {
        const bool is_voter = log == root_log_id
                                  ? it.root_voter
                                  : it.domain_voter && log == "domain-" + it.failure_domain.str();
        if (is_voter && it.id != options_.daemon_settings.id) {
            out.push_back(it.id);
        }
    }
    return out;
}

void control_plane::send(const daemon_id& to, wire::envelope envelope)
{
    if (to == options_.daemon_settings.id) {
        return;
    }
    envelope.set_version(protocol_version);
    envelope.set_from(options_.daemon_settings.id.str());
    envelope.set_from_member(options_.daemon_settings.id.str());
    hooks_.send(to, envelope);
}

void control_plane::send_to_all(const wire::envelope& message)
{
    for (const auto& it : options_.daemon_settings.peers) {
        send(it.id, message);
    }
}

// --- time ---------------------------------------------------------------------------------------

void control_plane::tick(instant now)
{
    domain_log_->tick(now);
    replace_lost_storage(now, *domain_log_);
    if (root_log_ != nullptr) {
        root_log_->tick(now);
        replace_lost_storage(now, *root_log_);
    }
    client_.tick(now);
    share_reports(now);
    if (now >= next_controller_step_) {
        next_controller_step_ = now + controller_interval;
        run_controller(now);
    }
    if (now >= next_pull_) {
        next_pull_ = now + pull_interval;
        pull_configuration(now);
        pull_views(now);
    }
    was_ready_ = was_ready_ || granted_at(now).has_value();
}

void control_plane::replace_lost_storage(instant now, replicated_log& log)
{
    if (!log.raft().holds_lease(now)) {
        return;
    }
    if (const auto change = next_storage_replacement(now, log.raft(), log.bootstrap())) {
        // Fails while an earlier change is not committed; the next tick tries again.
        const bool promotes = change->kind == membership_change::kind_t::promote;
        log.change_membership(now, change->member, true, promotes);
    }
}

void control_plane::run_controller(instant now)
{
    const auto& raft = domain_log_->raft();
    if (!raft.holds_lease(now)) {
        was_leading_ = false;
        return;
    }
    if (!was_leading_) {
        was_leading_ = true;
        controller_.reset();
        proposed_.clear();
        proposing_configuration_ = false;
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
        return; // an earlier proposal is not committed yet
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
        const auto* current = domain_->state.groups().find(it.record.id);
        const auto assignment = current == nullptr ? it.record.assignment : current->assignment;
        hooks_.log({it.record.id,
                    answer.refused().empty() ? std::string{name_of(it.to)} : "refused", assignment,
                    join_nodes(it.record.nodes),
                    answer.refused().empty() ? it.why : answer.refused()});
    };
    if (!domain_log_->propose(now, command.SerializeAsString(), done)) {
        proposed_.erase(it.record.id);
    }
}

void control_plane::pull_configuration(instant now)
{
    if (!domain_log_->raft().holds_lease(now)) {
        return;
    }
    if (root_ != nullptr) {
        propose_configuration(now, root_->state.accepted());
    }
    // Root voters pull too, because their own replica may be partitioned from the root's quorum.
    const auto all = daemons_of(root_log_id);
    if (!all.empty()) {
        wire::envelope out;
        out.mutable_config_pull()->set_have_revision(domain_->state.in_force().value);
        send(all[pull_turn_++ % all.size()], std::move(out));
    }
}

void control_plane::propose_configuration(instant now, const wire::accepted_configuration& accepted)
{
    const bool is_newer = accepted.revision() > domain_->state.in_force().value;
    if (!is_newer || proposing_configuration_ || !domain_log_->raft().holds_lease(now)) {
        return;
    }
    wire::command command;
    *command.mutable_copy() = accepted;
    proposing_configuration_ = true;
    const auto done = [this](const std::optional<std::string>&) {
        proposing_configuration_ = false;
    };
    if (!domain_log_->propose(now, command.SerializeAsString(), done)) {
        proposing_configuration_ = false;
    }
}

void control_plane::share_reports(instant now)
{
    if (now < next_share_) {
        return;
    }
    next_share_ = now + options_.daemon_settings.watch_interval / shares_per_watch_interval;
    wire::envelope out;
    auto* reports = out.mutable_reports();
    for (const auto& [id, it] : own_reports_) {
        *reports->add_reports() = to_wire(id, it);
    }
    own_reports_.clear();
    for (const auto& it : options_.daemon_settings.peers) {
        if (it.failure_domain == options_.daemon_settings.failure_domain) {
            // An empty message is sent too: the receivers count this daemon as a watcher only while
            // its messages arrive.
            send(it.id, out);
        }
    }
}

void control_plane::pull_views(instant now)
{
    std::map<failure_domain_id, std::vector<daemon_id>> voters;
    for (const auto& it : options_.daemon_settings.peers) {
        if (it.failure_domain != options_.daemon_settings.failure_domain && it.domain_voter) {
            voters[it.failure_domain].push_back(it.id);
        }
    }
    for (const auto& [domain, all] : voters) {
        wire::envelope out;
        auto* pull = out.mutable_view_pull();
        pull->set_domain(domain.str());
        pull->set_stamp(now.time_since_epoch().count());
        pull->set_have_version(remote_domains_.version_of(domain));
        pull->set_asker(options_.daemon_settings.id.str());
        send(all[pull_turn_ % all.size()], std::move(out));
    }
    ++pull_turn_;
}

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/settings.h"
#include "cedarpoint/consensus/replicated_log.h"
#include "cedarpoint/control/log_client.h"
#include "cedarpoint/control/remote_domains.h"
#include "cedarpoint/groups/group_controller.h"
#include "cedarpoint/groups/runner_watch.h"
#include "cedarpoint/request/actions.h"
#include "cedarpoint/routing/target.h"
#include "cedarpoint/state/domain_state.h"
#include "cedarpoint/state/root_state.h"
#include "control.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// One state change of a group, for the log.
struct group_event {
    group_id group;
    std::string state; ///< the new state, or "refused" with why in `reason`
    epoch assignment;
    std::string nodes; ///< ids, separated by commas
    std::string reason;
};

/// The control plane's output and its wall clock.
struct control_hooks {
    /// Sends a message to another daemon; it may be lost, doubled or late.
    std::function<void(const daemon_id&, const wire::envelope&)> send;
    /// Sends an order to a runner; it is repeated until the runner's reports show it.
    std::function<void(const runner_order&)> order;
    std::function<void(const group_event&)> log;
    /// Wall time in ms since 1970, for the age of claims only.
    std::function<std::uint64_t()> wall_ms;
};

/// The control side of one daemon that has a list of peers. It decides nothing about one request;
/// it provides the targets for all of them.
/// Owns: its replica of the domain's log and, on a root voter, of the root's log, with their
/// states; the group controller, which works only while this daemon holds the domain's lease; the
/// last views of the other domains.
/// Relies on: the owner's calls of `tick` at short intervals, `receive` for each message and
/// `on_report` for each look at a runner. No I/O: output goes through `control_hooks`.
class control_plane {
public:
    struct options {
        settings own;
        raft_options raft;
        control_options control;
        std::uint64_t seed = 1; ///< of election timeouts and call ids; differs at each start
        /// See `replicated_log::options`.
        std::function<instant()> clock;
    };

    /// `files` null: no disk, nothing outlives the process. Null with `why` if a log's folder can't
    /// be read.
    static std::unique_ptr<control_plane> open(instant now, options options, file_system* files,
                                               control_hooks hooks, reason& why);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void tick(instant now);
    /// Sends to all peers, of each failure domain.
    void send_to_all(const wire::envelope& message);
    void receive(instant now, const wire::envelope& in);
    /// The answer of a runner that this daemon watches (see `watched`).
    void on_report(instant now, const runner_id& runner, const runner_report& report);

    /// Operators' calls, retried for 10 s. An empty answer means that no leader answered in time:
    /// the command may still be applied, and may be repeated without harm.
    using answer_handler = log_client::answer_handler;
    void submit_configuration(instant now, wire::config_change change, answer_handler done);
    void submit_drain(instant now, wire::drain_change change, answer_handler done);
    /// Retried for 3 s; then the verdict is `unavailable`.
    void begin_claim(instant now, const ask_claim& ask, std::function<void(claim_verdict)> done);
    /// Retried for 60 s; there is no answer.
    void finish_claim(instant now, const end_claim& end);

    /// True once this daemon has had a grant or the lease since it started.
    [[nodiscard]] bool is_ready(instant now) const;
    /// All places to send requests to; each is valid until its own `valid_until`.
    /// `own_in_flight`: this daemon's requests at a runner, which its reports count too.
    [[nodiscard]] target_table
    targets(instant now, const std::function<int(const runner_id&)>& own_in_flight) const;
    /// The runners that this daemon has to poll, once per watch interval.
    [[nodiscard]] std::vector<runner_spec> watched(instant now) const;

    [[nodiscard]] const domain_state& domain() const;
    [[nodiscard]] const replicated_log& domain_log() const { return *domain_log_; }
    /// Null on a daemon that is no voter of the root's log.
    [[nodiscard]] const replicated_log* root_log() const { return root_log_.get(); }
    [[nodiscard]] const runner_watch& watch() const { return watch_; }
    /// See raft_node::granted_at, of the domain's log. Empty: no grant yet.
    [[nodiscard]] std::optional<instant> granted_at(instant now) const;
    /// Accelerators of this domain's present nodes that are in no serving group.
    [[nodiscard]] int stranded_accelerators(instant now) const;
    [[nodiscard]] const remote_domains& others() const { return others_; }
    /// Set when the disk has failed: the process must end. Empty: no failure.
    [[nodiscard]] std::optional<reason> failure() const;
    /// See replicated_log::refused_write; of either log.
    [[nodiscard]] std::optional<reason> refused_write() const;

private:
    class domain_machine;
    class root_machine;

    control_plane(options options, control_hooks hooks);
    bool open_logs(instant now, file_system* files, reason& why);
    std::unique_ptr<replicated_log> open_log(instant now, const std::string& name,
                                             wire::membership members, file_system* files,
                                             replicated_state& state, reason& why);
    [[nodiscard]] replicated_log* find_log(const std::string& name) const;
    [[nodiscard]] std::vector<daemon_id> daemons_of(const std::string& log) const;
    [[nodiscard]] std::string domain_log_name() const;

    void lead_domain(instant now);
    void propose_group(instant now, const group_proposal& it);
    void follow_root(instant now);
    void take_configuration(instant now, const wire::accepted_configuration& accepted);
    void share_reports(instant now);
    void pull_views(instant now);

    void on_raft(instant now, const wire::envelope& in);
    void on_submit(instant now, const wire::envelope& in);
    void on_config_pull(const wire::envelope& in);
    void on_reports(instant now, const wire::envelope& in);
    void on_view_pull(instant now, const wire::envelope& in);
    void send(const daemon_id& to, wire::envelope envelope);
    void add_group_targets(instant now, const group_record& it, instant valid_until,
                           const failure_domain_id& home, target_table& out) const;
    /// Requests at a target by the latest report, from all daemons.
    [[nodiscard]] int reported_in_flight(const target& it) const;
    void add_service_targets(instant own_until, target_table& out) const;
    void set_service_grant(instant own_until, target& place) const;

    options options_;
    control_hooks hooks_;
    std::unique_ptr<domain_machine> domain_;
    std::unique_ptr<root_machine> root_;
    std::unique_ptr<replicated_log> domain_log_;
    std::unique_ptr<replicated_log> root_log_;
    log_client client_;
    remote_domains others_;
    group_controller controller_;
    runner_watch watch_;
    std::map<runner_id, runner_report> own_reports_; ///< not shared yet
    std::map<daemon_id, instant> heard_;
    std::set<group_id> proposed_;
    bool proposing_copy_ = false;
    bool led_ = false;
    bool was_ready_ = false;
    instant next_look_;
    instant next_pull_;
    instant next_share_;
    std::size_t pull_from_ = 0;
};

} // namespace cedarpoint

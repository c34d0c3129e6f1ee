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

/// A state change of a group, as it is logged.
struct group_event {
    group_id group;
    std::string state; ///< the new state, or "refused" with the cause in `reason`
    epoch assignment;
    std::string nodes; ///< ids, separated by commas
    std::string reason;
};

/// Callbacks for the control plane's output and for the wall clock.
struct control_hooks {
    /// Sends a message to another daemon. It may be lost, duplicated or delayed.
    std::function<void(const daemon_id&, const wire::envelope&)> send;
    /// Sends an order to a runner. The order is repeated until the runner's reports confirm it.
    std::function<void(const runner_order&)> order;
    std::function<void(const group_event&)> log;
    /// Returns the wall time in milliseconds since 1970. It serves only to determine the age of
    /// claims.
    std::function<std::uint64_t()> wall_ms;
};

/// The control plane of one daemon whose settings list `peers`. It provides the targets for all
/// requests and takes no part in the routing of a single request.
/// Owns: its replica of the domain's log and, on a root voter, of the root's log, with their
/// states; the group controller, which works only while this daemon holds the domain's lease; the
/// last views of the other domains.
/// Relies on: its owner, which calls `tick` at short intervals, `receive` for each message and
/// `on_report` for each answer of a polled runner. Performs no I/O except through the logs' files:
/// other output goes through `control_hooks`.
class control_plane {
public:
    struct options {
        settings daemon_settings;
        raft_options raft;
        control_options control;
        std::uint64_t seed = 1; ///< for election timeouts and call ids; must differ at each start
        /// See `replicated_log::options::clock`.
        std::function<instant()> clock;
    };

    /// Opens the replicas of the logs. If `files` is null, nothing is stored durably. Returns null
    /// and sets `why` if a log's folder can't be read.
    static std::unique_ptr<control_plane> open(instant now, options options, file_system* files,
                                               control_hooks hooks, reason& why);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void tick(instant now);
    /// Sends to the peers in all failure domains.
    void send_to_all(const wire::envelope& message);
    void receive(instant now, const wire::envelope& in);
    /// Records the report of a runner that this daemon polls (see `watched`).
    void on_report(instant now, const runner_id& runner, const runner_report& report);

    /// Submits an operator's command, which is retried for 10 s. An empty answer means that no
    /// leader answered in time: the command may still be applied. Repeating it is safe.
    using answer_handler = log_client::answer_handler;
    void submit_configuration(instant now, wire::config_change change, answer_handler done);
    void submit_drain(instant now, wire::drain_change change, answer_handler done);
    /// Submits a claim, which is retried for 3 s; after that the verdict is `unavailable`.
    void begin_claim(instant now, const ask_claim& ask, std::function<void(claim_verdict)> done);
    /// Submits the end of a claim, which is retried for 60 s. The outcome is not reported.
    void finish_claim(instant now, const end_claim& end);

    /// Returns true once this daemon has had a grant or the lease since its start.
    [[nodiscard]] bool is_ready(instant now) const;
    /// Returns all targets for requests; each is valid until its own `valid_until`.
    /// `own_in_flight` returns the number of this daemon's requests at a runner. It is subtracted
    /// from the number that the runner reports, which includes them.
    [[nodiscard]] target_table
    targets(instant now, const std::function<int(const runner_id&)>& own_in_flight) const;
    /// Returns the runners that this daemon must poll once per watch interval.
    [[nodiscard]] std::vector<runner_spec> watched(instant now) const;

    [[nodiscard]] const domain_state& domain() const;
    [[nodiscard]] const replicated_log& domain_log() const { return *domain_log_; }
    /// Returns the replica of the root's log; null unless this daemon is a root voter.
    [[nodiscard]] const replicated_log* root_log() const { return root_log_.get(); }
    [[nodiscard]] const runner_watch& watch() const { return watch_; }
    /// Returns raft_node::granted_at of the domain's log.
    [[nodiscard]] std::optional<instant> granted_at(instant now) const;
    /// Returns the number of accelerators on this domain's present nodes that are in no serving
    /// group.
    [[nodiscard]] int stranded_accelerators(instant now) const;
    [[nodiscard]] const remote_domains& remote_domain_views() const { return remote_domains_; }
    /// Returns the permanent failure of either log, after which the process must end; empty if
    /// there is none.
    [[nodiscard]] std::optional<reason> failure() const;
    /// Returns replicated_log::write_failure of the domain's log or, if empty, of the root's.
    [[nodiscard]] std::optional<reason> write_failure() const;

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

    /// If this daemon leads the log, demotes a voter that has lost its storage or promotes it
    /// again.
    static void replace_lost_storage(instant now, replicated_log& log);
    /// Runs a step of the group controller if this daemon holds the domain's lease.
    void run_controller(instant now);
    void propose_group(instant now, const group_proposal& it);
    /// If this daemon holds the domain's lease, pulls the configuration that the root has accepted.
    void pull_configuration(instant now);
    /// Proposes to copy the configuration into the domain's log if it is newer than the one there.
    void propose_configuration(instant now, const wire::accepted_configuration& accepted);
    /// Sends the runners' reports to the domain's other daemons.
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
    /// Returns the number of requests, from all daemons, at a target by its latest report.
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
    remote_domains remote_domains_;
    group_controller controller_;
    runner_watch watch_;
    std::map<runner_id, runner_report> own_reports_; ///< not yet sent to the domain's other daemons
    std::map<daemon_id, instant> last_message_at_;
    std::set<group_id> proposed_; ///< groups with a proposal whose outcome is not known yet
    bool proposing_configuration_ = false; ///< as `proposed_`, for the copy of the configuration
    bool was_leading_ = false;
    bool was_ready_ = false;
    instant next_controller_step_;
    instant next_pull_;
    instant next_share_;
    std::size_t pull_turn_ = 0; ///< selects the voters that are asked in turn
};

} // namespace cedarpoint

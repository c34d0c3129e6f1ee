#pragma once

#include "cedarpoint/core/peer_clocks.h"
#include "cedarpoint/fleet/fleet_messages.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/fleet_view.h"
#include "cedarpoint/fleet/follower_tracker.h"
#include "cedarpoint/fleet/group_planner.h"
#include "cedarpoint/fleet/health_reports.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/fleet/recent_configurations.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/view_builder.h"
#include "cedarpoint/quarantine/quarantine_controller.h"
#include "cedarpoint/rate_limits/permit_allocator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint {

/// The state and decisions of the leading control daemon: the registry of runners, the reports of
/// entry daemons, the plan of groups, and the view that entry daemons follow. Soft state, rebuilt
/// from the log at the start of each term. Does no I/O.
class fleet_leader {
public:
    /// An update for one entry daemon.
    using addressed_update = std::pair<daemon_id, wire::fleet_update>;

    fleet_leader(planner_options options, const platform_adapter& platform,
                 const fleet_state& state);

    /// Starts leading as the only leader of `term`.
    void begin_term(instant now, std::uint64_t term);
    [[nodiscard]] std::vector<planner_step> tick(instant now);

    /// Processes a heartbeat. Returns false for one that is older than one processed before, and
    /// for one of another writer: it names another service than the runner, or both an
    /// unconfigured service and another runner's address.
    bool announce(instant now, const announcement& in);
    /// `report`: the content of the answer; empty if it is unreadable.
    void on_probe_answered(instant now, const runner_id& runner,
                           const std::optional<probe_report>& report);
    /// `refused`: the address refused the connection.
    void on_probe_failed(const runner_id& runner, bool refused);
    /// Records that another runner answered at the runner's address.
    void on_other_runner_answered(const runner_id& runner);
    void on_order_result(instant now, const group_order& order, order_result result);
    /// Records that the runner has announced in an answer that it is leaving. `its_incarnation` is
    /// the incarnation that answered; 0 if not known. Has the same effect as the runner's own
    /// announcement that it drains, regardless of its heartbeats.
    void on_runner_leaving(const runner_id& runner, incarnation its_incarnation);

    /// Processes an entry daemon's report and returns the answer to it.
    wire::fleet_update on_follow(instant now, const daemon_id& follower,
                                 const wire::fleet_follow& in);
    /// Records that the latest update for the entry daemon was not sent because there is no
    /// connection to it yet.
    void on_update_dropped(const daemon_id& follower) { followers_.on_dropped(follower); }
    /// Returns updates for the followers that have not been sent the current view.
    std::vector<addressed_update> pending_updates(instant now);
    /// Updates the view from the registry, the plan and the replicated state.
    void refresh_view(instant now);
    /// Returns followers whose reports have stopped; each is returned once.
    std::vector<daemon_id> take_lost_followers(instant now);

    [[nodiscard]] const runner_registry& registry() const { return registry_; }
    [[nodiscard]] const group_planner& planner() const { return planner_; }
    void set_event_handler(std::function<void(const plan_event&)> handler)
    {
        planner_.set_event_handler(std::move(handler));
    }
    /// Called once for each unreadable configuration in the log. The log should contain none.
    std::function<void(std::uint64_t version, const reason&)> on_unreadable_configuration;
    /// Called when an entry daemon has reported a request, or a part of a prompt, during which
    /// runners crashed.
    std::function<void(instant now, const crash_cause&, const crash_history&)> on_crashes;
    /// Called when a runner starts to drain because it announced in an answer that it is leaving.
    std::function<void(const runner_id&)> on_leave_signal;
    /// Called when a cause is to be quarantined.
    std::function<void(instant now, const quarantine_order&)> on_quarantine;
    /// Processes the lifting of a quarantine by an operator, after it is committed to the log.
    void on_quarantine_lifted(instant now, const crash_cause& cause);

    /// Returns the configuration of an operator's call; null, with the reason in `why`, if any part
    /// of it is invalid. A document that was read lately is not read again.
    [[nodiscard]] std::shared_ptr<const fleet_configuration>
    read_configuration(const std::string& document, reason& why);

private:
    void take_configuration();
    /// Returns the configuration in force; null, with the reason in `why`, if it is unreadable.
    [[nodiscard]] std::shared_ptr<const fleet_configuration>
    read_stored_configuration(reason& why) const;
    void take_rate_limits(instant now, const daemon_id& follower, rate_limit_observations in);
    void add_quarantines(instant now, std::vector<planner_step>& steps);
    void take_crashes(instant now, const daemon_id& follower, crash_histories in);
    /// Passes the full crash history of each cause in `reported` to `on_crashes`.
    void report_crashes(instant now, const crash_histories& reported) const;
    [[nodiscard]] bool is_configured(const service_id& service) const;
    /// Returns true if the heartbeat names another service than the runner itself has, which must
    /// be a configured one. An incarnation of a runner belongs to one service.
    [[nodiscard]] bool contradicts_service(const announcement& in) const;
    /// Records which incarnations of runners have ended according to a heartbeat. `earlier_owner`
    /// is the previous owner of its address, if that was another runner.
    void note_incarnation(instant now, const announcement& in,
                          const std::optional<runner_id>& earlier_owner);
    [[nodiscard]] wire::fleet_update make_update(instant now, std::uint64_t from) const;

    const platform_adapter& platform_;
    const fleet_state& state_;
    runner_registry registry_;
    health_reports reports_;
    group_planner planner_;
    view_builder view_builder_;
    recent_configurations recent_configurations_;
    std::shared_ptr<const fleet_configuration> configuration_;
    std::uint64_t installed_version_ = 0;  ///< of `configuration_`, as stored
    std::uint64_t unreadable_version_ = 0; ///< of the latest unreadable configuration
    view_source view_;
    std::uint64_t viewed_version_ = 0; ///< of the configuration in the view
    follower_tracker followers_;
    peer_clocks clocks_; ///< of entry daemons; kept across the terms of this daemon
    permit_allocator rate_limits_;
    quarantine_controller quarantine_;
    std::map<runner_id, incarnation> drained_; ///< departures proposed to the log in this term
    std::vector<planner_step> records_; ///< commands for the log, collected until the next tick
    std::uint64_t term_ = 0;
};

} // namespace cedarpoint

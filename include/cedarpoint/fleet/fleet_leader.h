#pragma once

#include "cedarpoint/core/peer_clocks.h"
#include "cedarpoint/fleet/fleet_messages.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/fleet_view.h"
#include "cedarpoint/fleet/follower_tracker.h"
#include "cedarpoint/fleet/group_planner.h"
#include "cedarpoint/fleet/health_reports.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/view_builder.h"
#include "cedarpoint/quarantine/quarantine_controller.h"
#include "cedarpoint/rate_limits/permit_allocator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace cedarpoint {

/// What the leading control daemon knows and decides: the registry of runners, the reports of entry
/// daemons, the plan of groups, and the view that entry daemons follow. Soft state, begun anew with
/// each term from what the log holds. Does no I/O.
class fleet_leader {
public:
    /// An update for one entry daemon.
    using addressed_update = std::pair<daemon_id, wire::fleet_update>;

    fleet_leader(planner_options options, const platform_adapter& platform,
                 const fleet_state& state);

    /// Leads from now on, as the only leader of `term`.
    void begin_term(instant now, std::uint64_t term);
    [[nodiscard]] std::vector<planner_step> tick(instant now);

    /// False for a heartbeat that is older than one taken before, and for one that names a service
    /// which the configuration does not have and the address of another runner.
    bool announce(instant now, const announcement& in);
    void on_probe_answered(instant now, const runner_id& runner);
    /// `refused`: the address answered with a reset.
    void on_probe_failed(const runner_id& runner, bool refused);
    /// Another runner answered at the runner's address.
    void on_other_runner(const runner_id& runner);
    void on_order_result(instant now, const group_order& order, order_result result);
    /// The runner has said in an answer that it leaves; `life`: the one that it was in, 0 if not
    /// known. Counts like its own announcement that it drains, whatever its heartbeats say.
    void on_runner_leaving(const runner_id& runner, birth life);

    /// An entry daemon's report, and the answer to it.
    wire::fleet_update on_follow(instant now, const daemon_id& follower,
                                 const wire::fleet_follow& in);
    /// The latest update for the entry daemon was not sent: there is no connection to it yet.
    void on_update_dropped(const daemon_id& follower) { followers_.on_dropped(follower); }
    /// Updates for the followers that were not sent the present view yet.
    std::vector<addressed_update> pending_updates(instant now);
    /// Makes the view follow the registry, the plan and the replicated state.
    void refresh_view(instant now);
    /// Followers that have fallen silent; each is named once.
    std::vector<daemon_id> take_lost_followers(instant now);

    [[nodiscard]] const runner_registry& registry() const { return registry_; }
    [[nodiscard]] const group_planner& planner() const { return planner_; }
    void set_event_handler(std::function<void(const plan_event&)> handler)
    {
        planner_.set_event_handler(std::move(handler));
    }
    /// Told once for each configuration in the log that can't be read; none should be there.
    std::function<void(std::uint64_t version, const reason&)> on_unreadable_configuration;
    /// Told when an entry daemon has reported on a request under which runners ended.
    std::function<void(instant now, const request_fingerprint&, const crash_history&)> on_crashes;
    /// Told when a runner drains because it has said in an answer that it leaves.
    std::function<void(const runner_id&)> on_leave_heard;
    /// Told when a request is to be quarantined.
    std::function<void(instant now, const quarantine_order&)> on_quarantine;
    /// An operator has lifted the quarantine of a request, and the log holds that.
    void on_quarantine_lifted(instant now, const request_fingerprint& request);

private:
    void take_configuration();
    void take_rate_limits(instant now, const daemon_id& follower, rate_limit_sightings in);
    void add_quarantines(instant now, std::vector<planner_step>& steps);
    void take_crashes(instant now, const daemon_id& follower, crash_histories in);
    /// Tells the event handler all that is known of the requests in `news`.
    void tell_crashes(instant now, const crash_histories& news) const;
    /// Which lives have ended by what a heartbeat tells. `earlier_owner`: of its address, if that
    /// was another runner.
    void note_life(instant now, const announcement& in,
                   const std::optional<runner_id>& earlier_owner);
    [[nodiscard]] wire::fleet_update make_update(instant now, std::uint64_t from) const;

    const platform_adapter& platform_;
    const fleet_state& state_;
    runner_registry registry_;
    health_reports reports_;
    group_planner planner_;
    view_builder view_builder_;
    std::optional<fleet_configuration> configuration_;
    std::uint64_t unreadable_version_ = 0; ///< of the latest configuration that can't be read
    view_source view_;
    std::uint64_t viewed_version_ = 0; ///< of the configuration in the view
    follower_tracker followers_;
    peer_clocks clocks_; ///< of entry daemons; outlast the terms of this daemon
    permit_allocator rate_limits_;
    quarantine_controller quarantine_;
    std::map<runner_id, birth> drained_; ///< proposed to the log in this term
    std::vector<planner_step> records_;  ///< commands for the log, until the next tick
    std::uint64_t term_ = 0;
};

} // namespace cedarpoint

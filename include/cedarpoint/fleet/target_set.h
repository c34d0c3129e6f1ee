#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_target.h"
#include "cedarpoint/fleet/health_report.h"
#include "cedarpoint/fleet/path_monitor.h"
#include "cedarpoint/fleet/view_content.h"
#include "cedarpoint/rate_limits/send_permits.h"
#include "cedarpoint/runner_signals/send_holds.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace cedarpoint {

/// Result of choosing a target.
struct target_choice {
    /// If candidates are excluded for several reasons, the last one in this order applies.
    enum class outcome_t {
        chosen,
        none_available, ///< no target is accepting, staying and untried
        paused,         ///< candidates have asked this daemon for a pause
        all_full,       ///< candidates are full
        rate_limited    ///< candidates have room, but this daemon has no permit to send to them now
    };
    outcome_t outcome = outcome_t::none_available;
    const fleet_target* target = nullptr; ///< valid until the next update; null unless chosen
    std::optional<instant> pause_ends;    ///< earliest end of the candidates' pauses
};

/// The targets in this entry daemon's view, with the daemon's observations of each. Chooses targets
/// by the rules of `target_ranking.h`.
class target_set {
public:
    /// `seed`: of the random numbers that decide between targets of about the same cost and that
    /// spread the permits this daemon makes itself.
    target_set(failure_domain_id own_domain, std::uint64_t seed);

    /// Replaces the targets. Keeps the observations of those that remain or have requests in
    /// flight.
    void update(instant now, const view_content& view);
    /// Replaces the counts of requests in flight from other entry daemons.
    void update_loads(const std::map<runner_id, int>& in_flight_elsewhere);

    /// Chooses the target with the lowest cost for a service and, if the service has groups, a
    /// model. Excludes the runners in `tried`, those that have asked for a pause or said that they
    /// leave, full ones, and rate-limited ones without a permit.
    [[nodiscard]] target_choice choose(instant now, const service_id& service,
                                       const model_id& model, const std::set<runner_id>& tried);
    /// Returns null if the runner is not a target in the current view.
    [[nodiscard]] const fleet_target* find(const runner_id& runner) const;

    void on_sent(instant now, const runner_id& runner);
    /// Records that a new connection to the runner was established.
    void on_connected(instant now, const runner_id& runner);
    void on_byte(instant now, const runner_id& runner);
    void on_done(const runner_id& runner);
    /// Records the time between two events of a stream, or between a request and its plain answer.
    void on_wait(const runner_id& runner, duration wait);
    void on_success(const runner_id& runner);
    /// Records a failed attempt: its answer is missing, incomplete, invalid or stalled, states that
    /// the request was not run, or has a 5xx status.
    void on_failure(instant now, const runner_id& runner);
    /// Records a failed connection attempt; `refused`: the address answered with a reset.
    void on_unreachable(instant now, const runner_id& runner, bool refused);

    /// Looks for runners that owe an answer and have been silent for long. To be called regularly.
    void check_silence(instant now);

    /// The paths from this daemon to the accepting targets.
    [[nodiscard]] path_monitor& paths() { return paths_; }
    /// Permits to send requests to runners that have named a rate limit.
    [[nodiscard]] send_permits& permits() { return permits_; }
    /// Runners that have asked for a pause or said that they leave.
    [[nodiscard]] send_holds& holds() { return holds_; }

    /// Returns the accepting targets that have said in an answer that they leave, each with the
    /// start time of the runner process that said so.
    [[nodiscard]] std::map<runner_id, incarnation> leaving_targets() const;

    /// Returns the observations to report to the leader. Each wait is reported only once.
    [[nodiscard]] std::map<runner_id, runner_observation> take_observations(instant now);
    [[nodiscard]] const std::map<runner_id, fleet_target>& targets() const { return targets_; }

private:
    using service_model = std::pair<service_id, model_id>;

    /// Returns true if the runner has asked for a pause or said that it leaves. For a pause,
    /// updates the outcome and `pause_ends` in `out`.
    [[nodiscard]] bool is_held(instant now, const runner_id& runner, target_choice& out) const;

    failure_domain_id own_domain_;
    std::mt19937_64 random_;
    std::map<runner_id, fleet_target> targets_;
    std::map<service_model, std::vector<runner_id>> by_service_model_;
    std::map<runner_id, target_stats> stats_;
    path_monitor paths_;
    send_permits permits_;
    send_holds holds_;
};

} // namespace cedarpoint

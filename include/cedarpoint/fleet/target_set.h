#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/fleet_target.h"
#include "cedarpoint/fleet/health_report.h"
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

/// A choice of a target.
struct target_choice {
    enum class outcome_t {
        chosen,
        none_available, ///< none is known, accepting and untried
        paused,         ///< some would do, but have asked this daemon for a pause
        all_full,       ///< some would do, but are full
        rate_limited    ///< some have room, but may not be sent one more request now
    };
    outcome_t outcome = outcome_t::none_available;
    const fleet_target* target = nullptr; ///< valid until the next update; null unless chosen
    std::optional<instant> pause_ends;    ///< the first of the pauses that were met
};

/// The targets of this entry daemon's view, and what it observed of each. Chooses by the rules of
/// `target_ranking.h`.
class target_set {
public:
    /// `seed`: of the draws that decide between equal targets.
    target_set(failure_domain_id own_domain, std::uint64_t seed);

    /// Replaces the targets; what was observed stays for those that are still there.
    void update(instant now, const view_content& view);
    /// Replaces the requests in flight from other entry daemons.
    void update_loads(const std::map<runner_id, int>& in_flight_elsewhere);

    /// The target with the lowest cost for a service and, where it has groups, a model; none of
    /// those in `tried`, and none that has asked to be sent nothing.
    [[nodiscard]] target_choice choose(instant now, const service_id& service,
                                       const model_id& model, const std::set<runner_id>& tried);
    /// Null if the runner is no target any more.
    [[nodiscard]] const fleet_target* find(const runner_id& runner) const;

    void on_sent(instant now, const runner_id& runner);
    void on_byte(instant now, const runner_id& runner);
    void on_done(const runner_id& runner);
    /// A stream's event came `wait` after the one before it, or a plain answer after its request.
    void on_wait(const runner_id& runner, duration wait);
    void on_success(const runner_id& runner);
    /// The answer did not come, was spoiled, or was a refusal or a server's error.
    void on_failure(instant now, const runner_id& runner);
    /// No connection was made; `refused`: it was reset.
    void on_unreachable(instant now, const runner_id& runner, bool refused);

    /// What bounds the requests to runners that have named a rate limit.
    [[nodiscard]] send_permits& permits() { return permits_; }
    /// The runners that have asked to be sent nothing.
    [[nodiscard]] send_holds& holds() { return holds_; }

    /// Targets that have said that they leave, in the lives that said so.
    [[nodiscard]] std::map<runner_id, birth> leaving_targets() const;

    /// The observations to report to the leader; waits are reported once.
    [[nodiscard]] std::map<runner_id, runner_observation> take_observations(instant now);
    [[nodiscard]] const std::map<runner_id, fleet_target>& targets() const { return targets_; }

private:
    using use = std::pair<service_id, model_id>;

    /// True if the runner has asked to be sent nothing; notes in `out` how long.
    [[nodiscard]] bool is_held(instant now, const runner_id& runner, target_choice& out) const;

    failure_domain_id own_domain_;
    std::mt19937_64 random_;
    std::map<runner_id, fleet_target> targets_;
    std::map<use, std::vector<runner_id>> by_use_;
    std::map<runner_id, target_stats> stats_;
    send_permits permits_;
    send_holds holds_;
};

} // namespace cedarpoint

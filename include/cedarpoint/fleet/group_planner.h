#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/epoch_source.h"
#include "cedarpoint/fleet/failure_detector.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/group_conversion.h"
#include "cedarpoint/fleet/group_lifecycle.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/group_placement.h"
#include "cedarpoint/fleet/group_plan.h"
#include "cedarpoint/fleet/health_reports.h"
#include "cedarpoint/fleet/leader_recovery.h"
#include "cedarpoint/fleet/placement_snapshot.h"
#include "cedarpoint/fleet/planner_options.h"
#include "cedarpoint/fleet/planner_outbox.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/weight_load_limiter.h"
#include "cedarpoint/fleet/weight_staging.h"
#include "cedarpoint/fleet/work_average.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cedarpoint {

/// Decides, on the leading control daemon, which runners form which groups. Runs its components in
/// this order on each tick: `leader_recovery` takes over groups of earlier leaders,
/// `group_lifecycle` advances the groups' phases based on `failure_detector`, `group_conversion`
/// retires groups in favour of another model, `group_placement` forms new groups, and
/// `weight_staging` copies weights to the hosts of runners. Does no I/O: a tick returns the steps
/// to carry out. Its state is soft and is reset at the start of each term.
class group_planner {
public:
    group_planner(planner_options options, const runner_registry& registry,
                  const health_reports& reports, const fleet_state& state);

    /// Resets the state and starts as the leader of `term`.
    void begin_term(instant now, std::uint64_t term);
    /// Sets the configuration, which must stay valid until the next one is set. Without a
    /// configuration nothing is planned.
    void set_configuration(const fleet_configuration* configuration);
    [[nodiscard]] std::vector<planner_step> tick(instant now);
    void on_order_result(instant now, const group_order& order, order_result result);
    void on_probe_failed(const runner_id& runner, bool refused);
    /// Records that the runner answered a probe or sent a heartbeat. The content of a heartbeat
    /// goes to the registry, that of an answer to `on_report`.
    void on_alive(const runner_id& runner);
    void on_report(instant now, const runner_id& runner, const probe_report& report);
    /// Records that the runner has restarted under its id with nothing loaded. Its heartbeats end
    /// its group membership; this clears its loaded model, which no heartbeat reports.
    void on_new_incarnation(const runner_id& runner);
    void set_event_handler(std::function<void(const plan_event&)> handler);

    [[nodiscard]] const group_plan::group_map& groups() const { return plan_.groups(); }
    /// Returns the heads that entry daemons are asked to try to connect to.
    [[nodiscard]] std::vector<runner_id> suspects() const { return lifecycle_.suspects(); }
    /// Returns a one-line summary of the groups, free runners and loads, for the log.
    [[nodiscard]] std::string summary(instant now) const;
    /// Returns false while a new leader still waits for the runners' heartbeats.
    [[nodiscard]] bool is_settled(instant now) const { return now >= settled_at_; }

private:
    /// Returns false while the fleet is starting and new runners still announce themselves.
    [[nodiscard]] bool is_fleet_announced(instant now) const;
    void form_groups(instant now);
    /// Retires groups in favour of a model with a higher utilization. Returns true if it retired
    /// any.
    bool convert_groups(instant now, const placement_snapshot& in);
    /// Returns false if the group had to end at once.
    bool begin_group(instant now, const proposed_group& proposed);
    [[nodiscard]] bool is_usable(const runner_record& record) const;
    [[nodiscard]] bool is_free(instant now, const runner_record& record) const;
    /// Returns true if the runner sent a heartbeat in this term and is in no group, or in one that
    /// serves.
    [[nodiscard]] bool is_settled_runner(const runner_record& record) const;
    [[nodiscard]] placement_snapshot take_snapshot(instant now) const;
    void count_groups(placement_snapshot& out) const;
    void add_runners(instant now, placement_snapshot& out) const;
    void measure_work(instant now);
    /// Returns the number of requests in service for the model plus the rate of rejected ones per
    /// second.
    [[nodiscard]] double count_requests(instant now, const engine_model& model) const;
    [[nodiscard]] std::size_t count_serving(const model_id& model) const;
    [[nodiscard]] std::string summarize_models(const placement_snapshot& in) const;
    [[nodiscard]] std::string summarize_free(const placement_snapshot& in) const;

    planner_options options_;
    const runner_registry& registry_;
    const health_reports& reports_;
    const fleet_state& state_;
    const fleet_configuration* configuration_ = nullptr;
    group_plan plan_;
    planner_outbox outbox_;
    failure_detector detector_;
    epoch_source epochs_;
    group_lifecycle lifecycle_;
    leader_recovery recovery_;
    weight_load_limiter loads_;
    weight_staging staging_;
    group_conversion conversions_;
    work_average work_;
    bool took_over_groups_ = false; ///< the log held groups when the term began
    instant settled_at_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/fleet_view.h"
#include "cedarpoint/fleet/group_planner.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/sighting_board.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// What the leading control daemon knows and decides: the registry of runners, the plan of groups
/// and the view that entry daemons follow. Soft state, begun anew with each term. Does no I/O.
class fleet_leader {
public:
    fleet_leader(planner_options options, const platform_adapter& platform,
                 const fleet_state& state);

    /// Leads from now on, as the only leader of `term`.
    void begin_term(instant now, std::uint64_t term);
    [[nodiscard]] std::vector<planner_step> tick(instant now);

    bool announce(instant now, const announcement& in);
    void on_look_answered(instant now, const runner_id& runner);
    void on_look_failed(instant now, const runner_id& runner, bool refused);
    /// Another runner answered at the runner's address.
    void on_other_runner(const runner_id& runner);
    void on_order_result(instant now, const group_order& order, order_result result);

    /// An entry daemon's word, and the answer to it.
    wire::fleet_update on_follow(instant now, const std::string& follower,
                                 const wire::fleet_follow& in);
    /// Updates for followers that do not have the present view yet.
    std::vector<std::pair<std::string, wire::fleet_update>> pending_updates(instant now);
    /// Makes the view follow the registry, the plan and the replicated state.
    void refresh_view(instant now);

    [[nodiscard]] const runner_registry& registry() const { return registry_; }
    [[nodiscard]] const group_planner& planner() const { return planner_; }
    [[nodiscard]] group_planner& planner() { return planner_; }
    [[nodiscard]] const sighting_board& sightings() const { return sightings_; }
    /// Followers whose latest word is not old; those that fell silent are named once.
    std::vector<std::string> take_lost_followers(instant now);

private:
    struct follower {
        instant heard;
        std::uint64_t sent = 0;      ///< version of the latest update
        std::uint64_t confirmed = 0; ///< what it said that it has
        /// When it confirmed more than before, or was sent again all that it lacks. Changes sent
        /// meanwhile don't count: they are of no use to one that misses what came before them.
        instant progress_at;
    };

    void expect_registered(instant now);
    void take_configuration();
    [[nodiscard]] wire::fleet_update make_update(instant now, std::uint64_t from) const;
    void add_plain_runners(instant now, std::map<std::string, wire::fleet_item>& items) const;
    void add_groups(instant now, std::map<std::string, wire::fleet_item>& items) const;
    /// Marks among runners that could stand in for each other those to be avoided.
    void add_outlook(instant now, const std::vector<runner_id>& peers,
                     std::map<std::string, wire::fleet_item>& items) const;
    [[nodiscard]] bool is_usable(instant now, const runner_record& record) const;

    planner_options options_;
    const platform_adapter& platform_;
    const fleet_state& state_;
    runner_registry registry_;
    sighting_board sightings_;
    group_planner planner_;
    std::optional<fleet_configuration> configuration_;
    view_source view_;
    std::uint64_t viewed_version_ = 0; ///< of the configuration in the view
    std::map<std::string, follower> followers_;
    std::vector<planner_step> records_; ///< for the log
    std::uint64_t term_ = 0;
};

} // namespace cedarpoint

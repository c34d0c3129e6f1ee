#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/load_limiter.h"
#include "cedarpoint/fleet/runner_registry.h"
#include "cedarpoint/fleet/sighting_board.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// Where a group stands in the leader's plan.
enum class plan_phase {
    joining,   ///< members are ordered in; none of them has been opened
    opening,   ///< all were ready; the head is ordered to open
    serving,   ///< the head says that it is open
    retiring,  ///< takes no new requests; ends when those in flight have ended
    releasing, ///< the head is ordered to leave; its members are not free before it has
    waiting    ///< the head can't be asked: it is free once nobody reaches it, or once members have
               ///< left it for so long that it has broken
};

std::string_view name_of(plan_phase phase);

/// One group of the plan.
struct planned_group {
    group_id name;
    epoch assignment;
    service_id service;
    model_id model;
    std::vector<runner_id> members; ///< the head first
    plan_phase phase = plan_phase::joining;
    instant since;         ///< in this phase
    std::size_t loads = 0; ///< members that read weights from the store to join
    /// Waiting: members that answered a look since the head fell silent, and when.
    std::map<runner_id, instant> spoken;
    bool ordered_apart = false;     ///< waiting: members were ordered to leave
    std::optional<instant> left_at; ///< waiting: when the first member's leave was acknowledged
};

/// What the planner wants done.
struct planner_step {
    enum class kind_t {
        order,
        look,  ///< asks a runner for its state; only `to` and `address` of the order are set
        record ///< adds `command` to the replicated log
    };
    kind_t kind = kind_t::order;
    group_order order;
    std::string command;
};

/// One change of the plan, for the log.
struct planner_event {
    group_id group;
    plan_phase phase = plan_phase::joining;
    std::string reason;
    std::string members;
};

/// Times that decide.
struct planner_options {
    duration heartbeat = milliseconds{1200};
    duration stall = milliseconds{4000};      ///< a head without its members breaks after this
    duration settle = milliseconds{1700};     ///< a new leader listens before it decides
    duration order_retry = milliseconds{500}; ///< an unanswered order is sent again
    duration look_interval = milliseconds{400};
    duration retire_limit = milliseconds{8000};
};

/// Decides on the leading control daemon which runners form which groups. What runners report is
/// the truth; what was ordered is a wish. Keeps three rules at every moment: a group opens only
/// when every member has said that it is ready under the group's name and epoch; no runner is
/// ordered into a group while the head of its present one may be open; an assignment's epoch is
/// above all earlier ones, of earlier leaders too. Does no I/O.
class group_planner {
public:
    group_planner(planner_options options, const runner_registry& registry,
                  const sighting_board& sightings, const fleet_state& state);

    /// Begins anew as the leader of `term`.
    void begin_term(instant now, std::uint64_t term);
    void set_configuration(const fleet_configuration* configuration);
    [[nodiscard]] std::vector<planner_step> tick(instant now);
    void on_order_result(instant now, const group_order& order, order_result result);
    /// A look at a runner was not answered; an answer goes to the registry.
    void on_look_failed(instant now, const runner_id& runner, bool refused);
    void on_look_answered(const runner_id& runner);

    [[nodiscard]] const std::map<group_id, planned_group>& groups() const { return groups_; }
    /// Heads that can't be asked; entry daemons are to say whether they reach them.
    [[nodiscard]] std::vector<runner_id> suspects() const;
    /// One line on what there is and what is wanted, for the log.
    [[nodiscard]] std::string summary(instant now) const;
    /// False while a new leader still listens.
    [[nodiscard]] bool is_settled(instant now) const { return now >= settled_at_; }
    std::function<void(const planner_event&)> on_event;

private:
    enum class member_health { present, silent, draining, lost };

    void adopt(instant now);
    void adopt_group(instant now, planned_group group,
                     const std::map<std::size_t, runner_id>& ranks);
    void look_after(instant now, planned_group& group);
    void join_members(instant now, planned_group& group);
    void open_head(instant now, planned_group& group);
    void watch_serving(instant now, planned_group& group);
    void watch_retiring(instant now, planned_group& group);
    void release_head(instant now, planned_group& group);
    void watch_waiting(instant now, planned_group& group);
    void order_members_apart(instant now, planned_group& group);
    void ask_members(instant now, planned_group& group);
    [[nodiscard]] bool is_dark(instant now, const planned_group& group) const;
    void finish_dark(instant now, planned_group& group);
    void lose_member(instant now, planned_group& group, const std::string& why);
    void look_at_members(instant now, const planned_group& group);

    void form(instant now);
    /// False while the fleet is starting and runners are still announcing themselves: which models
    /// the fabric domains are given depends on all of them.
    [[nodiscard]] bool has_heard_fleet(instant now) const;
    struct proposal {
        const fleet_service* service = nullptr;
        const engine_model* model = nullptr;
        std::vector<runner_id> members;
        std::size_t loads = 0;
        double score = 0; ///< the lowest is formed first
    };
    using free_map = std::map<fabric_domain_id, std::vector<runner_id>>;
    [[nodiscard]] std::optional<proposal> best_proposal(instant now, const free_map& free) const;
    void begin_group(instant now, const proposal& chosen, free_map& free);
    [[nodiscard]] std::optional<proposal> propose(instant now, const fleet_service& service,
                                                  const engine_model& model,
                                                  const std::vector<runner_id>& free) const;
    [[nodiscard]] bool is_free(instant now, const runner_record& record) const;
    [[nodiscard]] free_map free_runners(instant now) const;
    void forget_staged();
    void stage_missing(instant now, const free_map& free);
    void stage_for_group(instant now, const free_map& free, const engine_model& model);
    void stage_spares(instant now, const free_map& free);
    /// The runner that takes a model's weights with the least loss; null if none should.
    [[nodiscard]] const runner_record* find_to_stage(const std::vector<runner_id>& runners,
                                                     const engine_model& model) const;
    [[nodiscard]] std::size_t count_staged(const std::vector<runner_id>& runners,
                                           const model_id& model) const;
    void stage(instant now, const runner_record& record, const engine_model& model);

    [[nodiscard]] member_health health_of(instant now, const planned_group& group,
                                          const runner_id& runner) const;
    [[nodiscard]] bool is_member_at(const runner_id& runner, const planned_group& group,
                                    member_phase phase) const;
    [[nodiscard]] duration join_time(const runner_record& record, const engine_model& model) const;
    [[nodiscard]] std::size_t count_groups(const model_id& model) const;
    /// Groups of a model that there should be: by its share, and more while it is under pressure.
    [[nodiscard]] std::size_t wanted_groups(instant now, const fleet_service& service,
                                            const engine_model& model) const;
    /// Groups that fit into the fabric domains that hold the model's weights.
    [[nodiscard]] std::size_t groups_at_home(const fleet_service& service,
                                             const engine_model& model) const;
    /// Groups of each model where the domains are shared by all models.
    [[nodiscard]] std::size_t shared_groups(const fleet_service& service) const;
    /// How full a model's groups are; above 1 requests are turned away.
    [[nodiscard]] double pressure(instant now, const fleet_service& service,
                                  const engine_model& model) const;
    /// Gives each fabric domain the model whose weights its runners hold: then any of them can
    /// stand in for any other. Each failure domain gets every model if it can.
    void assign_homes();
    [[nodiscard]] static const engine_model& choose_home(const std::vector<engine_model>& models,
                                                         const std::set<model_id>& here,
                                                         const std::map<model_id, double>& given);
    void drop_homes_if_short(const std::map<model_id, double>& given);
    [[nodiscard]] const engine_model& rarest_home(const std::vector<engine_model>& models,
                                                  const fabric_domain_id& domain,
                                                  const std::vector<runner_id>& runners) const;
    [[nodiscard]] bool is_home(const fabric_domain_id& domain, const model_id& model) const;
    [[nodiscard]] std::size_t count_runners(const service_id& service) const;
    [[nodiscard]] bool is_in_use(const runner_record& record, const service_id& service) const;
    /// Loads of groups that are being formed; these go before staging.
    [[nodiscard]] std::size_t joins_loading() const;
    void order(instant now, const group_order& order);
    void look(instant now, const runner_id& runner);
    void enter(instant now, planned_group& group, plan_phase phase, const std::string& why);
    void finish(instant now, planned_group& group, const std::string& why);
    void tell(const planned_group& group, const std::string& why) const;
    void record(std::string command);
    void record_formed(const planned_group& group);
    void inherit_groups(instant now);
    [[nodiscard]] bool is_doubted(const runner_id& runner, int looks) const;
    [[nodiscard]] group_order order_for(const planned_group& group, order_kind kind,
                                        const runner_id& to) const;

    planner_options options_;
    const runner_registry& registry_;
    const sighting_board& sightings_;
    const fleet_state& state_;
    const fleet_configuration* configuration_ = nullptr;
    load_limiter loads_;
    std::map<group_id, planned_group> groups_;
    std::map<runner_id, group_id> placed_;
    std::map<std::string, instant> ordered_; ///< by runner and kind, when last
    std::map<runner_id, instant> looked_;
    std::map<runner_id, int> unanswered_;                       ///< looks in a row
    std::map<runner_id, std::pair<model_id, instant>> staging_; ///< until when at the latest
    std::map<fabric_domain_id, model_id> homes_;
    std::map<runner_id, model_id> last_model_; ///< of the latest join
    /// Memberships that bind no longer, and since when.
    std::map<std::pair<group_id, runner_id>, instant> released_;
    std::set<group_id> finished_; ///< in this tick
    std::vector<planner_step> steps_;
    std::uint64_t term_ = 0;
    std::uint64_t formed_ = 0;
    instant settled_at_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/fleet/fleet_leader.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace cedarpoint::testing_support {

/// A simulated runner that follows the engines' group protocol: epochs, phases, weights on its
/// host.
struct fake_runner {
    announcement announced; ///< content of its next heartbeat
    model_id loaded;        ///< model of the last group that it joined
    bool alive = true;
    bool unreachable = false; ///< no entry daemon on the leader's side can connect to it
    bool partitioned = false; ///< no traffic passes between it and the leader's side
    instant next_heartbeat;
    instant ready_at;
    instant open_at;
    bool opening = false;
    std::uint64_t highest_epoch = 0;
    std::uint64_t highest_fence = 0;
    std::uint64_t orders = 0; ///< begun by its present incarnation
    /// Its states since the one that a report sent now shows, the oldest first.
    std::deque<std::pair<instant, probe_report>> reports;
    std::map<std::uint64_t, bool> ready_epochs; ///< epochs in which it was ready
};

/// Simulates runners, entry daemons and the leader's decisions. Checks that no group opens before
/// all its members were ready, and that no member joins another group while its group's head is
/// open.
class planner_world {
public:
    struct options {
        std::uint64_t seed = 1;
        /// Fraction of orders that get no answer and are carried out seconds later.
        double late_order_fraction = 0;
        /// Weights load as fast after the first request as before it.
        bool fast_weight_loads = true;
        /// Runners refuse an order whose fence is below one that they have seen. Not all engines
        /// check this.
        bool check_fences = true;
        /// Runners refuse an order whose condition does not hold. Not all engines check this.
        bool check_conditions = false;
        /// The configuration; that of `two_model_document` if empty.
        std::string document;
    };

    explicit planner_world(options options);

    void add_runners(const std::string& domain, int count);
    /// Advances the simulated time by `time` in steps of 20 ms.
    void run(duration time);
    /// Advances the simulated time of the runners alone.
    void step_runners_for(duration time);
    /// Replaces the leader by a new one, which starts from the log.
    void change_leader();
    /// Suspends all control daemons for `time`. Runners continue, and their heartbeats are
    /// delivered afterwards: to the same leader if its lease still holds, otherwise to the next
    /// one.
    void suspend_control(duration time);
    void kill(const runner_id& runner);
    void set_partitioned(const runner_id& runner, bool partitioned);
    /// Partitions the runner from the leader and from the entry daemons on the leader's side. It
    /// continues to serve on its own side.
    void set_unreachable(const runner_id& runner, bool unreachable);
    /// Delivers a heartbeat that was sent before a partition.
    void deliver_late_heartbeat(const runner_id& runner);
    /// Delivers a heartbeat that another writer sends under the runner's id. It differs from the
    /// runner's own in its service.
    void deliver_others_heartbeat(const runner_id& runner, const service_id& service);
    /// Stores a copy of the runner's current heartbeat for `deliver_held_back`.
    void hold_back_heartbeat(const runner_id& runner);
    /// Delivers the stored heartbeat.
    void deliver_held_back(const runner_id& runner);
    void deliver_all_held_back();
    /// Delivers a duplicate of the latest order to join that the runner accepted, after `delay`.
    void repeat_join(const runner_id& runner, duration delay);
    /// Carries out a duplicate of that order now. Returns true if the runner has taken it.
    bool repeat_join(const runner_id& runner);
    void drain(const runner_id& runner);
    /// Starts the runner again under its id, with no state of its earlier incarnation. Its first
    /// heartbeat arrives after `heartbeat_delay`.
    void restart(const runner_id& runner, duration heartbeat_delay = {});
    /// Sets the fraction of orders that get no answer and are carried out seconds later.
    void set_late_order_fraction(double fraction) { options_.late_order_fraction = fraction; }
    /// If set, an order for which it returns true gets no answer, and is held until
    /// `carry_out_held`.
    std::function<bool(const group_order&)> is_held;
    /// Returns the orders that are held, the oldest first.
    [[nodiscard]] const std::vector<group_order>& held() const { return held_; }
    /// Carries out a held order. Returns true if its runner has taken it.
    bool carry_out_held(std::size_t position);

    [[nodiscard]] std::size_t serving_groups(const std::string& model) const;
    [[nodiscard]] std::vector<runner_id> members_of_some_group(const std::string& model) const;
    /// Returns the runner's group; empty if it is in none.
    [[nodiscard]] group_id group_of(const runner_id& runner) const;
    [[nodiscard]] std::vector<runner_id> alive_runners() const;
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    /// Counts groups that were formed across several fabric domains.
    [[nodiscard]] std::size_t spread_groups() const;
    /// Counts fabric domains whose runners have loaded more than one model.
    [[nodiscard]] std::size_t mixed_domains() const;
    /// Counts groups that were retired in favour of another model.
    [[nodiscard]] std::size_t groups_converted() const { return converted_.size(); }
    /// Returns the leader's plan in one line, for a test's output.
    [[nodiscard]] std::string plan() const { return leader_->planner().summary(now_); }
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] bool is_in_log(const group_id& group) const;
    /// Requests in flight at each open head, as the entry daemon reports it.
    int in_flight = 4;
    /// Total requests in flight by model, divided evenly among its groups; overrides `in_flight`.
    std::map<std::string, int> work;
    /// If set, orders are carried out but their answers are lost.
    bool lose_answers = false;

private:
    struct late_order {
        instant at;
        group_order order;
    };

    void step();
    void step_runners();
    /// Records the runner's state for its reports.
    void note_state(fake_runner& runner) const;
    void send_heartbeats();
    void send_report();
    void execute(const planner_step& step);
    order_result carry_out(const group_order& order);
    order_result take(fake_runner& runner, const group_order& order);
    order_result join(fake_runner& runner, const group_order& order);
    /// Loads that begin before this time take a tenth of their time.
    [[nodiscard]] static instant first_request_time();
    /// Makes the runner load the model, and returns how long that takes.
    duration load_weights(fake_runner& runner, const model_id& model) const;
    [[nodiscard]] int in_flight_at(const fake_runner& head) const;
    void check_join(const group_order& order);
    void check_open(const fake_runner& head, const group_order& order);
    [[nodiscard]] bool makes_progress(const fake_runner& head) const;
    fake_runner* find(const runner_id& runner);
    [[nodiscard]] static std::string member_list_key(const group_id& group,
                                                     std::uint64_t epoch_value);

    options options_;
    std::mt19937_64 random_;
    instant now_{seconds{1000}};
    fleet_state state_;
    std::optional<fleet_leader> leader_;
    std::uint64_t term_ = 0;
    std::map<runner_id, fake_runner> runners_;
    std::map<std::string, std::vector<runner_id>> member_lists_; ///< members by group and epoch
    std::vector<late_order> late_orders_;
    std::vector<group_order> held_;
    std::map<runner_id, announcement> held_back_heartbeats_;
    /// Heartbeats sent while the control daemons are suspended.
    std::vector<announcement> queued_heartbeats_;
    bool suspended_ = false;
    std::map<runner_id, group_order> latest_joins_;
    std::vector<std::string> violations_;
    int runners_added_ = 0;
    std::map<group_id, instant> converted_; ///< groups retired in favour of another model, and when
};

/// Joins the lines of `planner_world::violations`, for a test's output.
std::string join_lines(const std::vector<std::string>& lines);

/// Returns a configuration with a service that has groups of 4 and of 3.
std::string two_model_document(std::uint64_t version);

} // namespace cedarpoint::testing_support

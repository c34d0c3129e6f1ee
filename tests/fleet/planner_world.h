#pragma once

#include "cedarpoint/fleet/fleet_leader.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace cedarpoint::testing_support {

/// A runner that keeps the group rules of the engines: epochs, phases, weights on its host.
struct fake_runner {
    announcement told; ///< what its next heartbeat says
    model_id loaded;   ///< of the last group that it joined
    bool alive = true;
    bool unreachable = false; ///< no entry daemon on the leader's side reaches it
    bool cut = false;         ///< the leader's side does not reach it, nor it the leader's side
    instant next_heartbeat;
    instant ready_at;
    instant open_at;
    bool opening = false;
    std::uint64_t highest_epoch = 0;
    std::uint64_t highest_fence = 0;
    std::map<std::uint64_t, bool> ready_epochs; ///< assignments that it was ready in
};

/// Runners, entry daemons and the leader's decisions in simulated time. Checks at every step that
/// no group serves without all its members and that no runner is joined while its head is open.
class planner_world {
public:
    struct options {
        std::uint64_t seed = 1;
        double late_orders = 0; ///< share that is not answered and carried out seconds later
        bool weights_at_once = true;
        /// Runners refuse an order whose fence is below one that they have seen, as the engines do
        /// where the users ask for it.
        bool fences = true;
    };

    explicit planner_world(options options);

    void add_runners(const std::string& domain, int count);
    /// Lets `time` pass in steps of 20 ms.
    void run(duration time);
    /// A new leader, which knows what the log holds.
    void change_leader();
    /// All control daemons are suspended for `time`; runners go on, and what they say meanwhile is
    /// heard afterwards, by the same leader if its lease still holds, or by the next one.
    void suspend_control(duration time);
    void kill(const runner_id& runner);
    void set_cut(const runner_id& runner, bool cut);
    /// Cut off from the entry daemons on the leader's side as well; on its own side it goes on.
    void set_unreachable(const runner_id& runner, bool unreachable);
    /// A heartbeat that was sent before a cut arrives now.
    void deliver_late_heartbeat(const runner_id& runner);
    /// Keeps a copy of the heartbeat that the runner sends now, for `deliver_held_back`.
    void hold_back_heartbeat(const runner_id& runner);
    /// The heartbeat that was held back arrives, as old as it is.
    void deliver_held_back(const runner_id& runner);
    void deliver_all_held_back();
    /// The latest order to join that the runner took was sent twice; the other one arrives after
    /// `delay`.
    void repeat_join(const runner_id& runner, duration delay);
    void drain(const runner_id& runner);

    [[nodiscard]] std::size_t serving(const std::string& model) const;
    [[nodiscard]] std::vector<runner_id> members_of_some_group(const std::string& model) const;
    /// The group that the runner is a member of; empty if it is in none.
    [[nodiscard]] group_id group_of(const runner_id& runner) const;
    [[nodiscard]] std::vector<runner_id> alive() const;
    [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
    /// Groups that were formed over several fabric domains.
    [[nodiscard]] std::size_t spread_groups() const;
    /// Fabric domains where runners have loaded more than one model.
    [[nodiscard]] std::size_t mixed_domains() const;
    /// Groups that were retired to make room for another model.
    [[nodiscard]] std::size_t groups_converted() const { return converted_.size(); }
    /// The leader's plan in one line, for a test's output.
    [[nodiscard]] std::string plan() const { return leader_->planner().summary(now_); }
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] bool is_in_log(const group_id& group) const;
    /// Requests in flight at each open head, as the entry daemon reports it.
    int in_flight = 4;
    /// Requests of a model in all, shared evenly by its groups; in place of `in_flight`.
    std::map<std::string, int> work;
    /// Orders are carried out, and their answers are lost.
    bool lose_answers = false;

private:
    struct late_order {
        instant at;
        group_order order;
    };

    void step();
    void step_runners();
    void heartbeats();
    void send_report();
    void perform(const planner_step& step);
    order_result carry_out(const group_order& order);
    order_result join(fake_runner& runner, const group_order& order);
    /// Makes the runner load the model; how long that takes.
    duration load_weights(fake_runner& runner, const model_id& model) const;
    [[nodiscard]] int in_flight_at(const fake_runner& head) const;
    void check_join(const group_order& order);
    void check_open(const fake_runner& head, const group_order& order);
    [[nodiscard]] bool group_moves(const fake_runner& head) const;
    fake_runner* find(const runner_id& runner);
    [[nodiscard]] static std::string list_key(const group_id& group, std::uint64_t epoch_value);

    options options_;
    std::mt19937_64 random_;
    instant now_{seconds{1000}};
    fleet_state state_;
    std::optional<fleet_leader> leader_;
    std::uint64_t term_ = 0;
    std::map<runner_id, fake_runner> runners_;
    std::map<std::string, std::vector<runner_id>> lists_; ///< members by group and epoch
    std::vector<late_order> late_;
    std::map<runner_id, announcement> held_back_;
    std::vector<announcement> queued_; ///< sent while the control daemons are suspended
    bool suspended_ = false;
    std::map<runner_id, group_order> latest_joins_;
    std::vector<std::string> broken_;
    int made_ = 0;
    std::map<group_id, instant> converted_; ///< groups retired for another model, and when
};

/// The lines of `planner_world::broken` as one text, for a test's output.
std::string told(const std::vector<std::string>& lines);

/// A configuration with a service of groups of 4 and of 3.
std::string two_model_document(std::uint64_t version);

} // namespace cedarpoint::testing_support

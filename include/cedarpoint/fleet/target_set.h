#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "control.pb.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// A runner that requests can be sent to: a plain one, or the head of a group.
struct fleet_target {
    runner_id runner;
    endpoint address;
    service_id service;
    model_id model; ///< of a group; empty for a plain runner
    group_id group;
    failure_domain_id failure_domain;
    int slots = 1;
    bool accepting = true;
    bool doubted = false; ///< the leader sees its streams stand still
    int slowness = 1;     ///< how many times slower than its peers
};

/// What this daemon has seen of a target by its own requests.
struct target_record {
    int in_flight = 0;
    int others = 0;      ///< in flight from other entry daemons, as told last
    instant waits_since; ///< the latest byte, or the first send after idleness
    instant latest_byte;
    int unreachable = 0; ///< connections not made since the latest byte
    bool refused = false;
    int failures = 0;        ///< in a row
    std::uint32_t waits = 0; ///< pauses or times to an answer that the leader was not told yet
    duration waited{};       ///< their sum
    instant avoid_until;     ///< not chosen while others can be
};

/// Which target to send to, and what this daemon saw of each.
class target_set {
public:
    explicit target_set(failure_domain_id home, std::uint64_t seed);

    /// Takes over the runners and groups of a view.
    void update(const std::map<std::string, wire::fleet_item>& items);

    /// Takes over what the other entry daemons have in flight.
    void update_loads(const wire::fleet_update& update);

    /// Why there is no target.
    enum class lack { none, absent, full };
    /// The best target for a service and, where it has groups, a model; null with `why`.
    [[nodiscard]] const fleet_target* choose(instant now, const service_id& service,
                                             const model_id& model,
                                             const std::set<runner_id>& tried, lack& why);
    [[nodiscard]] const fleet_target* find(const runner_id& runner) const;

    void on_sent(instant now, const runner_id& runner);
    void on_byte(instant now, const runner_id& runner);
    void on_done(const runner_id& runner);
    /// A stream's event came `wait` after the one before it, or a plain answer after its request.
    void on_wait(const runner_id& runner, duration wait);
    void on_success(const runner_id& runner);
    /// An answer that never came, or was spoiled, or a refusal.
    void on_failure(instant now, const runner_id& runner);
    void on_unreachable(instant now, const runner_id& runner, bool refused);

    /// What the leader is told; waits are told once.
    void add_sightings(instant now, wire::fleet_follow& out);
    [[nodiscard]] int in_flight(const runner_id& runner) const;
    [[nodiscard]] const std::map<runner_id, fleet_target>& targets() const { return targets_; }

private:
    [[nodiscard]] double score(instant now, const fleet_target& target);

    failure_domain_id home_;
    std::mt19937_64 random_;
    std::map<runner_id, fleet_target> targets_;
    std::map<std::pair<service_id, model_id>, std::vector<runner_id>> by_use_;
    std::map<runner_id, target_record> records_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/routing/breaker.h"
#include "cedarpoint/routing/target.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cedarpoint {

/// What a choice depends on, besides the state of the targets.
struct route_query {
    std::vector<pool_id> pools;         ///< in order of preference; empty for a service
    service_id service;                 ///< empty for a model
    std::optional<group_id> session_at; ///< where the session's state is
    std::uint64_t prefix = 0;           ///< hash of the prompt's beginning; 0: none
    std::uint64_t salt = 0;             ///< spreads equal choices
    std::set<runner_id> tried;          ///< not to be chosen again
};

/// One place that was looked at, for the decision log.
struct scored_target {
    const target* place = nullptr;
    double score = 0;
    std::string note; ///< why it was out, or empty
};

/// The outcome of a choice. `chosen` is null when nothing can take the request now.
struct route_choice {
    const target* chosen = nullptr;
    bool any_alive = false; ///< something would do, but is full
    std::vector<scored_target> looked_at;
    std::string reason;
};

/// Chooses where a request runs: its session's group first, then the prompt's cache, then load.
class router {
public:
    /// Scores, in slots' worth of load: a session outweighs a cached prefix, both are bounded.
    static constexpr double session_bonus = 4.0;
    static constexpr double prefix_bonus = 0.4;
    static constexpr double home_bonus = 1.0; ///< own failure domain before another
    static constexpr std::size_t max_prefixes = 65536;

    explicit router(failure_domain_id home) : home_{std::move(home)} {}

    /// Replaces the targets; what is in flight stays counted.
    void set_targets(target_table all) { targets_ = std::move(all); }
    [[nodiscard]] const target_table& targets() const { return targets_; }

    [[nodiscard]] route_choice choose(instant now, const route_query& query) const;

    void on_dispatch(instant now, const target& place, std::uint64_t prefix);
    void on_end(instant now, const runner_id& upstream, bool failed);
    [[nodiscard]] int in_flight(const runner_id& upstream) const;

private:
    struct prefix_entry {
        group_id group;
        std::list<std::uint64_t>::iterator order;
    };

    [[nodiscard]] std::string why_out(instant now, const target& it,
                                      const route_query& query) const;
    [[nodiscard]] double score(const target& it, const route_query& query) const;
    [[nodiscard]] double load(const target& it) const;
    void remember_prefix(std::uint64_t prefix, const group_id& group);

    failure_domain_id home_;
    target_table targets_;
    std::unordered_map<runner_id, int> in_flight_;
    std::unordered_map<runner_id, breaker> breakers_;
    std::unordered_map<std::uint64_t, prefix_entry> prefixes_;
    std::list<std::uint64_t> prefix_order_; ///< least recently used first
};

} // namespace cedarpoint

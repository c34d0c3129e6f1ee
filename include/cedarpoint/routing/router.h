#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/rate_limits/send_permits.h"
#include "cedarpoint/routing/breaker.h"
#include "cedarpoint/routing/target.h"
#include "cedarpoint/runner_signals/answer_signals.h"
#include "cedarpoint/runner_signals/send_holds.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cedarpoint {

/// The properties of a request that the choice of its target depends on.
struct route_query {
    std::vector<pool_id> pools;         ///< any of them can serve it, in no order; empty: service
    service_id service;                 ///< empty for a model
    std::optional<group_id> session_at; ///< group that holds the session's state
    std::uint64_t prefix = 0;           ///< hash of the prompt prefix; 0: none
    std::uint64_t salt = 0;             ///< spreads requests over targets with equal scores
    std::set<runner_id> tried;          ///< upstreams of earlier attempts, which are excluded
};

/// One target that was considered, for the decision log.
struct scored_target {
    const target* place = nullptr;
    double score = 0; ///< higher is better
    std::string note; ///< why it can't take the request; empty if it can
};

/// The result of `router::choose`. Its pointers refer to the router's targets and are valid until
/// these are replaced.
struct route_choice {
    const target* chosen = nullptr; ///< null if no target can take the request now
    bool any_alive = false;         ///< a target can take it, or could if it were less busy
    std::vector<scored_target> candidates;
    std::string reason;
};

/// Chooses the target for a request: of those that can take it, the one with the highest score.
/// Owns the targets, the counts of requests in flight and the breakers of the upstreams, and the
/// table of prompt prefixes. The user must report the start and the end of each attempt exactly
/// once.
///
/// The score is the sum of one term for each ranking rule. Its unit is a target's load: 0 with all
/// slots free, 1 with all slots busy (a full target is excluded, so load counts for less than 1).
///   load            - load             the least loaded
///   failure domain  + home_bonus       the daemon's own domain before others
///   session         + session_bonus    the group that holds the session's state
///   prefix cache    + prefix_bonus     the group that last had a prompt with this prefix
///   tie break       + less than 1e-6   chooses among targets with equal scores
/// The order session, prefix, load follows the LoxiLB gateway's documentation (docs/DESIGN.md).
class router {
public:
    /// More than all other terms together: the session's group wins if it can take the request.
    static constexpr double session_bonus = 4.0;
    /// Equal to 40% of a target's slots: the group loses if its load is higher by more than that.
    static constexpr double prefix_bonus = 0.4;
    /// Equal to the whole range of load: load alone never moves a request out of the daemon's
    /// failure domain while a target there has a free slot.
    static constexpr double home_bonus = 1.0;
    /// Size of the prefix table, which evicts the least recently used entry.
    static constexpr std::size_t max_prefixes = 65536;

    router(failure_domain_id home, own_permit_options permits)
        : home_{std::move(home)}, permits_{permits}
    {
    }

    /// Replaces the targets. The counts of requests in flight are kept.
    void set_targets(target_table all);
    [[nodiscard]] const target_table& targets() const { return targets_; }

    /// Chooses a target. Nothing is reserved there until `on_dispatch` is called.
    [[nodiscard]] route_choice choose(instant now, const route_query& query);

    /// Records that a request is sent to `place`. `prefix` is the hash of its prompt prefix, or 0.
    void on_dispatch(instant now, const target& place, std::uint64_t prefix);
    /// Records that a request at `upstream` has ended. `failed` counts as a failure in the
    /// upstream's breaker.
    void on_end(instant now, const runner_id& upstream, bool failed);
    /// Applies the signals in a response that arrived at `now` to a request sent at `sent_at`.
    /// Returns which of them are new.
    new_signals on_signals(instant now, const runner_id& upstream, const answer_signals& in,
                           instant sent_at);
    /// Returns the number of this daemon's requests in flight at `upstream`. Those of other daemons
    /// are in `target::reported_others`.
    [[nodiscard]] int in_flight(const runner_id& upstream) const;

private:
    struct prefix_entry {
        group_id group;
        std::list<std::uint64_t>::iterator order;
    };

    [[nodiscard]] std::string exclusion_reason(instant now, const target& it,
                                               const route_query& query);
    [[nodiscard]] double score(const target& it, const route_query& query) const;
    /// Returns the number of requests in flight at the target, of this and of other daemons.
    [[nodiscard]] int requests_at(const target& it) const;
    [[nodiscard]] double load(const target& it) const;
    [[nodiscard]] bool has_cached(const target& it, std::uint64_t prefix) const;
    void remember_prefix(std::uint64_t prefix, const group_id& group);

    failure_domain_id home_;
    target_table targets_;
    std::unordered_map<runner_id, int> in_flight_;
    std::unordered_map<runner_id, breaker> breakers_;
    send_holds holds_;
    send_permits permits_; ///< issued by this daemon, since no leader announces limits here
    std::unordered_map<std::uint64_t, prefix_entry> prefixes_;
    std::list<std::uint64_t> prefix_order_; ///< least recently used first
};

} // namespace cedarpoint

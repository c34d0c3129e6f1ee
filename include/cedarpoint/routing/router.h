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

/// What a choice depends on, besides the state of the targets.
struct route_query {
    std::vector<pool_id> pools;         ///< any will do, in no order; empty for a service
    service_id service;                 ///< empty for a model
    std::optional<group_id> session_at; ///< where the session's state is
    std::uint64_t prefix = 0;           ///< hash of the prompt's beginning; 0: none
    std::uint64_t salt = 0;             ///< spreads equal choices
    std::set<runner_id> tried;          ///< not to be chosen again
};

/// One place that was looked at, for the decision log.
struct scored_target {
    const target* place = nullptr;
    double score = 0; ///< the higher the better
    std::string note; ///< why it can't take the request; empty if it can
};

/// The outcome of a choice. It points into the router's targets: good until they are replaced.
struct route_choice {
    const target* chosen = nullptr; ///< null when nothing can take the request now
    bool any_alive = false;         ///< a place can take it, or could if it were not full
    std::vector<scored_target> looked_at;
    std::string reason;
};

/// Chooses the place where a request runs: of those that can take it, the one with the highest
/// score. Owns the targets, the requests in flight at each upstream, the upstreams' breakers and
/// the memory of prompt prefixes. Relies on its user to report each start and its end once.
///
/// The score is the sum of one part for each ranking rule. Its unit is a target's load: 0 with all
/// slots free, 1 with all slots busy (a full target is out, so load counts for less than 1).
///   load            - load             the least loaded
///   failure domain  + home_bonus       the daemon's own before another
///   session         + session_bonus    the group that holds the session's state
///   prefix cache    + prefix_bonus     the group that last had a prompt with this beginning
///   spread          + less than 1e-6   meant only to break ties
/// The order session, prefix, load follows the LoxiLB gateway's documentation (docs/DESIGN.md).
class router {
public:
    /// More than all other parts together: the session's group wins if it can take the request.
    static constexpr double session_bonus = 4.0;
    /// As much as 40% of a target's slots: a busier group than that loses.
    static constexpr double prefix_bonus = 0.4;
    /// As much as the whole range of load: load alone never sends a request out of the daemon's
    /// failure domain while a place there is free.
    static constexpr double home_bonus = 1.0;
    /// Prefixes remembered; the least recently used goes first.
    static constexpr std::size_t max_prefixes = 65536;

    router(failure_domain_id home, own_permit_options permits)
        : home_{std::move(home)}, permits_{permits}
    {
    }

    /// Replaces the targets; what is in flight stays counted.
    void set_targets(target_table all);
    [[nodiscard]] const target_table& targets() const { return targets_; }

    /// Counts nothing: the choice holds once `on_dispatch` is called for it.
    [[nodiscard]] route_choice choose(instant now, const route_query& query);

    /// A request sets out to `place`. `prefix`: hash of its prompt's beginning, 0 for none.
    void on_dispatch(instant now, const target& place, std::uint64_t prefix);
    /// It came to its end; `failed` counts against the upstream's breaker.
    void on_end(instant now, const runner_id& upstream, bool failed);
    /// An answer came at `now` to a request sent at `sent_at`, and says this of the upstream.
    signal_news on_signals(instant now, const runner_id& upstream, const answer_signals& in,
                           instant sent_at);
    /// This daemon's requests there; other daemons' are in `target::reported_others`.
    [[nodiscard]] int in_flight(const runner_id& upstream) const;

private:
    struct prefix_entry {
        group_id group;
        std::list<std::uint64_t>::iterator order;
    };

    [[nodiscard]] std::string why_out(instant now, const target& it, const route_query& query);
    [[nodiscard]] double score(const target& it, const route_query& query) const;
    /// Requests there, of this daemon and of others.
    [[nodiscard]] int requests_at(const target& it) const;
    [[nodiscard]] double load(const target& it) const;
    [[nodiscard]] bool has_cached(const target& it, std::uint64_t prefix) const;
    void remember_prefix(std::uint64_t prefix, const group_id& group);

    failure_domain_id home_;
    target_table targets_;
    std::unordered_map<runner_id, int> in_flight_;
    std::unordered_map<runner_id, breaker> breakers_;
    send_holds holds_;
    send_permits permits_; ///< no leader speaks of limits here, so all are this daemon's own
    std::unordered_map<std::uint64_t, prefix_entry> prefixes_;
    std::list<std::uint64_t> prefix_order_; ///< least recently used first
};

} // namespace cedarpoint

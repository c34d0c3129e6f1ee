#pragma once

#include "cedarpoint/core/decaying_count.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/health_report.h"
#include "cedarpoint/fleet/latency_tracker.h"
#include "cedarpoint/fleet/observation_totals.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cedarpoint {

/// State of one runner by the reports of all entry daemons together.
struct runner_health {
    int in_flight = 0;
    bool stalled = false; ///< no daemon receives bytes, and at least one waits or can't connect
    bool refused = false; ///< an entry daemon's connection was reset
    duration since_byte = duration::max(); ///< shortest time since an entry daemon received a byte
};

/// The latest health report of each entry daemon and the conclusions from all of them. Soft state
/// of the leading control daemon, cleared at the start of each term.
class health_reports {
public:
    void put(instant now, const daemon_id& follower, const health_report& in);
    /// Removes the reports and latencies of an earlier term. Keeps the traffic and rejection
    /// counts, because they do not depend on the leader.
    void clear();

    [[nodiscard]] runner_health health_of(instant now, const runner_id& runner) const;
    /// Returns true if every entry daemon with a current report has tried to connect to the runner
    /// at or after `since` and failed. False if there is no current report. Daemons that are cut
    /// off from all runners don't count if another one is not.
    [[nodiscard]] bool is_unreachable_from_all(instant now, instant since,
                                               const runner_id& runner) const;
    /// Returns when an entry daemon received a byte from the runner for the last time, in any
    /// report of this term; the epoch if none did.
    [[nodiscard]] instant latest_byte(const runner_id& runner) const;
    /// Forgets a runner that is no longer registered.
    void forget(const runner_id& runner) { latest_bytes_.erase(runner); }
    /// Returns the requests in flight at each runner, by the reports of all entry daemons but
    /// `excluded`.
    [[nodiscard]] std::map<runner_id, int> loads_excluding(instant now,
                                                           const daemon_id& excluded) const;
    /// Returns the number of entry daemons that share the fleet's limits: those with a recent
    /// report.
    [[nodiscard]] std::size_t count_followers(instant now) const;
    /// Returns the entry daemons with a recent report that accept requests of others.
    [[nodiscard]] std::vector<entry_peer> entry_daemons(instant now) const;
    /// Returns true once an entry daemon has reported a request for a model.
    [[nodiscard]] bool has_traffic() const { return requests_seen_ > 0; }
    /// Returns the rejected requests for a model per second, averaged over about a second.
    [[nodiscard]] double rejection_rate(instant now, const model_id& model) const;
    [[nodiscard]] const latency_tracker& latencies() const { return latencies_; }

private:
    struct entry {
        instant at;
        std::map<runner_id, runner_observation> runners;
        struct check {
            instant begun;
            bool reachable = false;
        };
        std::map<runner_id, check> checks;
        bool cut_off = false;
        std::optional<entry_peer> as_peer;
    };

    [[nodiscard]] static bool is_current(instant now, const entry& in);
    /// Returns true if the failed connections and the silence that this daemon sees say something
    /// of the runners. They don't if it is cut off from all runners and another daemon is not.
    [[nodiscard]] bool is_witness(instant now, const entry& in) const;
    /// Removes the reports that have expired from the totals.
    void expire(instant now) const;
    void remove_from_totals(const daemon_id& follower, const entry& in) const;

    std::map<daemon_id, entry> entries_;
    /// Totals of the reports in `counted_`, which each query reduces to the current ones first. So
    /// neither a report nor a query goes through the reports of all entry daemons.
    mutable observation_totals totals_;
    mutable std::set<std::pair<instant, daemon_id>> counted_; ///< time of each, and its daemon
    std::map<runner_id, instant> latest_bytes_;
    latency_tracker latencies_;
    std::map<model_id, decaying_count> rejected_;
    std::uint64_t requests_seen_ = 0;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/decaying_count.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/health_report.h"
#include "cedarpoint/fleet/latency_tracker.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace cedarpoint {

/// What all entry daemons together observe of one runner.
struct runner_health {
    int in_flight = 0;
    bool stalled = false; ///< nobody gets bytes from it, and somebody waits or can't connect
    bool refused = false; ///< its address refused a connection
    duration since_byte = duration::max(); ///< since any of them had a byte from it
};

/// The latest health report of each entry daemon, and what follows from all of them. Soft state of
/// the leading control daemon, begun anew with each term.
class health_reports {
public:
    void put(instant now, const daemon_id& follower, const health_report& in);
    /// Forgets the reports and latencies of an earlier term. Whether there is traffic, and what was
    /// turned away, stays: neither changes with the leader.
    void clear();

    [[nodiscard]] runner_health health_of(instant now, const runner_id& runner) const;
    /// True if every entry daemon that reports has tried to connect to the runner since `since`,
    /// and none of them could. False while no entry daemon reports.
    [[nodiscard]] bool is_unreachable_to_all(instant now, instant since,
                                             const runner_id& runner) const;
    /// Requests in flight at each runner, as the followers other than `asker` report them.
    [[nodiscard]] std::map<runner_id, int> loads_without(instant now, const daemon_id& asker) const;
    /// Entry daemons that have reported lately.
    [[nodiscard]] std::size_t count_followers(instant now) const;
    /// True once any entry daemon has reported a request for a model.
    [[nodiscard]] bool has_traffic() const { return requests_seen_ > 0; }
    /// Requests for a model that were turned away, per second, over about the latest second.
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
    };

    [[nodiscard]] static bool is_current(instant now, const entry& in);

    std::map<daemon_id, entry> entries_;
    latency_tracker latencies_;
    std::map<model_id, decaying_count> rejected_;
    std::uint64_t requests_seen_ = 0;
};

} // namespace cedarpoint

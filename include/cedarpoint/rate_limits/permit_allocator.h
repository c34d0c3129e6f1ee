#pragma once

#include "cedarpoint/core/decaying_count.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/rate_limits/permit_messages.h"
#include "cedarpoint/rate_limits/rate_limit.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <vector>

namespace cedarpoint {

/// Divides the rate limits that runners have named among entry daemons. This is soft state of the
/// leading control daemon that is cleared at the start of each term; a new leader learns the limits
/// from the daemons' reports.
///
/// A rate is not divided into equal shares: it may be lower than the number of daemons, and a token
/// bucket of one request at each daemon would already exceed it. Instead the leader issues whole
/// permits at the allowed rate, each to one daemon. Daemons are drawn at random, weighted by the
/// number of requests that each could recently have sent to the runner. A permit is valid for less
/// than a second (`send_permits`); one that expires unused is issued again. The number of
/// outstanding permits is bounded. This bound and the rate together bound the requests that arrive
/// within any window of a few seconds.
class permit_allocator {
public:
    /// Drops all limits and seeds the random draws.
    void clear(std::uint64_t seed);
    void on_report(instant now, const daemon_id& from, const rate_limit_observations& in);
    /// Returns the limits in force, each with the permits issued to the daemon since the previous
    /// call for it.
    [[nodiscard]] std::map<runner_id, permit_grant> take_grants(instant now, const daemon_id& to);
    void forget(const runner_id& runner) { limits_.erase(runner); }

private:
    struct share {
        instant reported_at;
        decaying_count wanted;
        std::uint32_t permits = 0; ///< issued to the daemon and not sent to it yet
    };
    struct batch {
        instant issued_at;
        std::uint32_t count = 0;
    };
    struct limit {
        rate_limit_record record;
        double budget = 0;   ///< permits that may be issued, including a fraction of one
        instant refilled_at; ///< when `budget` was last increased by the rate
        /// Permits that were issued and may still be used, oldest first.
        std::deque<batch> outstanding_batches;
        std::map<daemon_id, share> shares;

        /// Returns the upper bound of `budget`.
        [[nodiscard]] double budget_capacity(instant now) const;
        /// Returns how many more permits may be outstanding.
        [[nodiscard]] double outstanding_headroom(instant now) const;
        /// Removes `count` outstanding permits, oldest first: they were used or have expired.
        void retire(std::uint32_t count);
    };

    static void merge_observation(instant now, const rate_limit_observation& in, limit& into);
    static void refill(instant now, limit& of);
    void issue(instant now, limit& of);
    void divide(std::uint32_t count, const std::vector<share*>& takers,
                const std::vector<double>& weights);

    std::map<runner_id, limit> limits_;
    std::mt19937_64 random_;
};

} // namespace cedarpoint

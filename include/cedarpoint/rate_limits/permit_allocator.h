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

/// Divides the rates that runners have named among entry daemons. Soft state of the leading control
/// daemon, begun anew with each term: a new leader learns the limits from the daemons' reports.
///
/// A rate is not divided evenly: it may be lower than the number of daemons, and a bucket of one
/// request at each would be more than the runner takes. The leader issues whole permits at the
/// rate that is allowed, each to one daemon, drawn by how many requests the daemons could have sent
/// there lately. A permit lasts less than a second (`send_permits`); one that expires unused is
/// issued anew. Permits that may be in use at a time are bounded, so the arrivals of a window of
/// some seconds are: by those, and by the rate.
class permit_allocator {
public:
    /// Begins anew; `seed`: of the draws.
    void clear(std::uint64_t seed);
    void on_report(instant now, const daemon_id& from, const rate_limit_sightings& in);
    /// The limits that hold, each with the permits issued to the daemon since its latest report.
    [[nodiscard]] std::map<runner_id, permit_grant> take_grants(instant now, const daemon_id& to);
    void forget(const runner_id& runner) { limits_.erase(runner); }

private:
    struct share {
        instant reported_at;
        decaying_count wanted;
        std::uint32_t permits = 0; ///< issued and not told yet
    };
    struct batch {
        instant issued_at;
        std::uint32_t count = 0;
    };
    struct limit {
        rate_limit_record record;
        double budget = 0; ///< permits that may be issued; the fraction counts
        instant filled_at;
        std::deque<batch> open; ///< what was issued and may still be used
        std::map<daemon_id, share> shares;

        [[nodiscard]] double most_kept(instant now) const;
        [[nodiscard]] double room(instant now) const;
        /// So many of the open ones can't be used any more.
        void close(std::uint32_t count);
    };

    static void take(instant now, const rate_limit_observation& in, limit& into);
    static void fill(instant now, limit& of);
    void issue(instant now, limit& of);
    void divide(std::uint32_t count, const std::vector<share*>& takers,
                const std::vector<double>& weights);

    std::map<runner_id, limit> limits_;
    std::mt19937_64 random_;
};

} // namespace cedarpoint

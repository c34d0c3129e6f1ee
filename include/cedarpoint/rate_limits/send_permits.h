#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/rate_limits/permit_messages.h"
#include "cedarpoint/rate_limits/rate_limit.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>

namespace cedarpoint {

/// How a daemon issues permits to itself while it has no leader.
struct own_permit_options {
    /// Fraction of a rate limit that daemons without a leader use together.
    double rate_fraction = 0.5;
    /// Number of daemons that share each rate; 0 while it is unknown: then no permits are issued.
    std::size_t daemons = 0;
    std::uint64_t seed = 0; ///< for the random times at which the permits are issued
};

/// One daemon's permits to send requests to runners that have named a rate limit. A limit holds for
/// all daemons together. Once an answer has named one, the daemon sends nothing to the runner
/// without a permit; the other daemons learn of the limit from the leader.
///
/// Permits come from the leader (`permit_allocator`). While no leader reports the limit, the daemon
/// issues its own permits for an equal share of the rate, starting at a random time so that the
/// daemons don't send together. They use only a part of the rate (`rate_fraction`), because the
/// other daemons may still have a leader that issues permits for it.
class send_permits {
public:
    explicit send_permits(own_permit_options options) : options_{options}, random_{options.seed} {}

    /// Records the limit in an answer, received at `now`, to a request sent at `sent_at`. Returns
    /// true if the answer changes whether the runner is limited, or its rate.
    bool on_answer(instant now, const runner_id& runner, const rate_limit_reading& in,
                   instant sent_at);
    /// Takes all limits in force from the leader's answer to the report made at `asked_at`.
    void on_grants(instant asked_at, const std::map<runner_id, permit_grant>& in);
    void set_daemons(std::size_t count) { options_.daemons = count; }

    /// Returns true if a request may be sent to the runner now. If the runner is limited, counts a
    /// request that could be sent there; the leader distributes permits by these counts.
    [[nodiscard]] bool may_send(instant now, const runner_id& runner);
    /// Records that a request was sent to the runner, which uses a permit.
    void on_sent(instant now, const runner_id& runner);

    /// Returns true if requests to the runner need permits.
    [[nodiscard]] bool is_limited(const runner_id& runner) const
    {
        return limits_.contains(runner);
    }
    /// Returns the rate that the runner named; the runner must be limited.
    [[nodiscard]] request_rate rate_of(const runner_id& runner) const;
    [[nodiscard]] std::size_t count_limited() const { return limits_.size(); }
    /// Returns the report to the leader, and resets the counts in it.
    [[nodiscard]] rate_limit_observations take_observations(instant now);

private:
    struct batch {
        instant expires_at;
        std::uint32_t count = 0;
        bool is_from_leader = false; ///< issued by the leader, which issues expired ones again
    };
    struct limit {
        rate_limit_record record;                ///< from answers to this daemon
        std::optional<request_rate> leader_rate; ///< as the leader reported it last
        /// When the latest report was made whose answer contains the limit; before that, when this
        /// daemon received the first answer that names it.
        instant leader_reported_at;
        std::deque<batch> permits;                 ///< soonest to expire first
        std::optional<instant> next_own_permit_at; ///< when to issue the next own permit
        std::uint32_t wanted = 0;
        std::uint32_t used = 0;
        std::uint32_t unused = 0;
    };

    static void drop_expired(instant now, limit& of);
    void issue_own_permits(instant now, limit& of);
    [[nodiscard]] duration own_permit_interval(instant now, const limit& of) const;
    [[nodiscard]] duration draw_up_to(duration interval);

    std::map<runner_id, limit> limits_;
    own_permit_options options_;
    std::mt19937_64 random_;
};

} // namespace cedarpoint

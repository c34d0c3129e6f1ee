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

/// How a daemon makes permits of its own.
struct own_permit_options {
    /// The part of a rate that daemons without a leader use together.
    double used_part = 0.5;
    std::size_t daemons = 0; ///< that share each rate; 0: not known yet, then none are made
    std::uint64_t seed = 0;  ///< of the draw that puts them at times of their own
};

/// One daemon's permits to send requests to runners that have named a rate limit. A limit holds for
/// all daemons together, so from the answer that names it on, nothing is sent there without a
/// permit; the others learn of it from the leader.
///
/// Permits come from the leader (`permit_allocator`). While no leader speaks of the limit, the
/// daemon makes its own: its even part of the rate, at times that don't fall together with other
/// daemons'. Where there may be a leader for the rest of them, only a part of the rate is used so.
class send_permits {
public:
    explicit send_permits(own_permit_options options) : options_{options}, random_{options.seed} {}

    /// An answer came at `now` to a request sent at `sent_at`. True if it changes whether the
    /// runner is limited, or its rate.
    bool on_answer(instant now, const runner_id& runner, const rate_limit_reading& in,
                   instant sent_at);
    /// The leader's answer to the report that was made at `asked_at`: all limits that it knows.
    void on_grants(instant asked_at, const std::map<runner_id, permit_grant>& in);
    void set_daemons(std::size_t count) { options_.daemons = count; }

    /// True if a request may be sent to the runner now. If it is limited, counts one that could go
    /// there: the leader issues permits by these counts.
    [[nodiscard]] bool may_send(instant now, const runner_id& runner);
    /// A request is sent to the runner: takes a permit.
    void on_sent(instant now, const runner_id& runner);

    /// True if requests to the runner need permits.
    [[nodiscard]] bool is_limited(const runner_id& runner) const
    {
        return limits_.contains(runner);
    }
    /// The rate that it named; only for one that is limited.
    [[nodiscard]] request_rate rate_of(const runner_id& runner) const;
    [[nodiscard]] std::size_t count_limited() const { return limits_.size(); }
    /// What to report to the leader; counts are reported once.
    [[nodiscard]] rate_limit_sightings take_observations(instant now);

private:
    struct batch {
        instant expires_at;
        std::uint32_t count = 0;
        bool of_leader = false; ///< it issues those anew that expire
    };
    struct limit {
        rate_limit_record record;           ///< from answers to this daemon
        std::optional<request_rate> told;   ///< by the leader
        instant leader_heard_at;            ///< it spoke of the limit, or was first asked to
        std::deque<batch> permits;          ///< soonest to expire first
        std::optional<instant> next_own_at; ///< of the next permit of its own; empty: none is due
        std::uint32_t wanted = 0;
        std::uint32_t used = 0;
        std::uint32_t unused = 0;
    };

    static void drop_expired(instant now, limit& of);
    void make_own(instant now, limit& of);
    [[nodiscard]] duration own_interval(instant now, const limit& of) const;
    [[nodiscard]] duration draw_within(duration interval);

    std::map<runner_id, limit> limits_;
    own_permit_options options_;
    std::mt19937_64 random_;
};

} // namespace cedarpoint

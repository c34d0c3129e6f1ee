#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <deque>
#include <map>
#include <optional>

namespace cedarpoint {

/// Records when heartbeats of each life of the runners arrived. A life is one run of a runner's
/// process under the runner's id; see `birth`. A connection to a runner that was cut may only have
/// been reset by the network. If the next heartbeat after the cut is from a later life, the process
/// had ended. This is soft state of the leading control daemon.
class runner_lives {
public:
    /// Records a heartbeat of the runner in this life. Returns true if the life is new.
    bool on_heard(instant now, const runner_id& runner, birth life);
    /// Records the life of the runner that the replicated log holds, before its first heartbeat.
    void expect(const runner_id& runner, birth life);
    /// Records that another runner has started at the runner's address.
    void on_replaced(instant now, const runner_id& runner);
    void forget(const runner_id& runner) { runners_.erase(runner); }
    void clear() { runners_.clear(); }

    /// Returns the latest life whose first heartbeat had arrived by `at`; empty if there was none.
    [[nodiscard]] std::optional<birth> life_at(const runner_id& runner, instant at) const;
    /// Returns the life that ended with a cut at `at`: no heartbeat of it arrived afterwards, and
    /// one of a later life, or another runner at its address, followed soon. Empty while there is
    /// no such proof.
    [[nodiscard]] std::optional<birth> life_ended_by(const runner_id& runner, instant at) const;

private:
    struct known_life {
        birth life;
        instant first_heartbeat_at;
        instant last_heartbeat_at;
    };
    struct history {
        std::deque<known_life> lives; ///< the earliest first
        std::optional<instant> replaced_at;
    };
    using life_iterator = std::deque<known_life>::const_iterator;

    [[nodiscard]] static life_iterator find_life(const history& in, instant at);

    std::map<runner_id, history> runners_;
};

} // namespace cedarpoint

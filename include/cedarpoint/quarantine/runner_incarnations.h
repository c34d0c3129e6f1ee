#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <deque>
#include <map>
#include <optional>

namespace cedarpoint {

/// Records when heartbeats of each incarnation of the runners arrived. A connection to a runner
/// that was cut may only have been reset by the network. If the next heartbeat after the cut is
/// from a later incarnation, the process had ended. This is soft state of the leading control
/// daemon.
class runner_incarnations {
public:
    /// Records a heartbeat of the runner in this incarnation. Returns true if the incarnation is
    /// new.
    bool on_heartbeat(instant now, const runner_id& runner, incarnation its_incarnation);
    /// Records the incarnation of the runner that the replicated log holds, before its first
    /// heartbeat.
    void expect(const runner_id& runner, incarnation its_incarnation);
    /// Records that another runner has started at the runner's address.
    void on_replaced(instant now, const runner_id& runner);
    void forget(const runner_id& runner) { runners_.erase(runner); }
    void clear() { runners_.clear(); }

    /// Returns the latest incarnation whose first heartbeat had arrived by `at`; empty if there was
    /// none.
    [[nodiscard]] std::optional<incarnation> incarnation_at(const runner_id& runner,
                                                            instant at) const;
    /// Returns the incarnation that ended with a cut at `at` of a connection made at
    /// `connected_at`: a heartbeat of it arrived while the connection was open, none afterwards,
    /// and one of a later incarnation, or another runner at its address, followed soon. A
    /// connection that was made after the latest heartbeat may have been accepted, and cut, by
    /// whoever keeps the port of a runner that is down. Empty while there is no such proof.
    [[nodiscard]] std::optional<incarnation>
    incarnation_ended_by(const runner_id& runner, instant connected_at, instant at) const;

private:
    struct known_incarnation {
        incarnation its_incarnation;
        instant first_heartbeat_at;
        instant last_heartbeat_at;
    };
    struct history {
        std::deque<known_incarnation> incarnations; ///< the earliest first
        std::optional<instant> replaced_at;
    };
    using incarnation_iterator = std::deque<known_incarnation>::const_iterator;

    [[nodiscard]] static incarnation_iterator find_incarnation(const history& in, instant at);

    std::map<runner_id, history> runners_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/runner_incarnations.h"

#include <vector>

namespace cedarpoint {

/// Holds cuts at runners whose addresses accepted connections afterwards. Such a cut is either a
/// reset of the connection, or a crash of a runner that restarted at once or whose listening socket
/// is kept open by a supervisor. A cut is held until a later incarnation of the runner proves that
/// it was a crash, or until it is too old for such a proof.
class unproved_cuts {
public:
    /// Adds observations that entry daemons report. Skips those that are already held.
    void add(instant now, const crash_histories& in);
    /// Drops earlier cuts of a cause of which a runner answered a request completely at `at`.
    void on_answer(instant at, const crash_cause& cause);
    /// Removes and returns the cuts that are proved to be crashes, with the incarnation that ended
    /// filled in.
    [[nodiscard]] crash_histories take_proved(instant now, const runner_incarnations& incarnations);
    void clear() { cuts_.clear(); }

private:
    struct cut {
        crash_cause cause;
        crash_observation observation;
    };
    [[nodiscard]] bool holds(const crash_cause& cause, const crash_observation& observation) const;
    void drop_old(instant now);

    std::vector<cut> cuts_;
};

} // namespace cedarpoint

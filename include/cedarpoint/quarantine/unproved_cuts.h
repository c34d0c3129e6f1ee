#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/request_fingerprint.h"
#include "cedarpoint/quarantine/runner_lives.h"

#include <vector>

namespace cedarpoint {

/// Connections to runners that were cut while their addresses went on taking connections: a reset,
/// or an end of the runner that was back at once or whose listening socket a supervisor keeps. They
/// wait here until a later life of the runner is heard, or until that would prove nothing any more.
class unproved_cuts {
public:
    /// Observations that entry daemons report; one that is held already is passed over.
    void add(instant now, const crash_histories& in);
    /// A runner has answered the request whole at `at`: what was cut before was not its fault.
    void on_answer(instant at, const request_fingerprint& request);
    /// Takes out those that ended a life of their runner, and names it in them.
    [[nodiscard]] crash_histories take_proved(instant now, const runner_lives& lives);
    void clear() { cuts_.clear(); }

private:
    struct cut {
        request_fingerprint request;
        crash_observation seen;
    };
    [[nodiscard]] bool holds(const request_fingerprint& request,
                             const crash_observation& seen) const;
    void drop_old(instant now);

    std::vector<cut> cuts_;
};

} // namespace cedarpoint

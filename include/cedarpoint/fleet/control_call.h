#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/quarantine/crash_cause.h"

#include <string_view>

namespace cedarpoint {

/// The kinds of calls from operators and runners to a control daemon.
enum class control_call {
    put_configuration,
    get_configuration,
    heartbeat,
    deregister,
    check_readiness,
    list_quarantine, ///< lists the requests and prompt parts that are sent to no runner
    lift_quarantine,
    unknown
};

/// Returns the name of the call in metrics.
std::string_view name_of(control_call call);

/// A call and its arguments.
struct parsed_call {
    control_call call = control_call::unknown;
    runner_id runner;  ///< the calling runner, if a runner calls; empty if its id is no text
    crash_cause cause; ///< the cause whose quarantine is lifted
};

} // namespace cedarpoint

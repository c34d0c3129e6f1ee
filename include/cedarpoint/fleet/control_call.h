#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/quarantine/request_fingerprint.h"

#include <string_view>

namespace cedarpoint {

/// What a call of an operator or a runner to a control daemon asks for.
enum class control_call {
    put_configuration,
    get_configuration,
    heartbeat,
    deregister,
    check_readiness,
    list_quarantine, ///< requests that are sent to no runner
    lift_quarantine,
    unknown
};

/// A name for metrics.
std::string_view name_of(control_call call);

/// A call, and what it is about.
struct parsed_call {
    control_call call = control_call::unknown;
    runner_id runner;            ///< that makes it, if one does
    request_fingerprint request; ///< whose quarantine is lifted
};

} // namespace cedarpoint

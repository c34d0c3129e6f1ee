#pragma once

#include "cedarpoint/core/time.h"

#include <nlohmann/json_fwd.hpp>

namespace cedarpoint {

class daemon;

/// Returns the report of `cedarpoint status` on a daemon and on the state of the fleet known to it.
nlohmann::json make_status(daemon& of, instant now);

} // namespace cedarpoint

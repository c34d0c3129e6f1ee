#pragma once

#include "cedarpoint/core/time.h"

#include <nlohmann/json_fwd.hpp>

namespace cedarpoint {

class daemon;

/// What `cedarpoint status` shows of one daemon and of what it knows.
nlohmann::json make_status(daemon& of, instant now);

} // namespace cedarpoint

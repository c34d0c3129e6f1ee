#pragma once

#include "cedarpoint/core/units.h"
#include "cedarpoint/fleet/announcement.h"

#include <optional>

namespace cedarpoint {

/// A runner's answer to a probe: its state some hundred milliseconds earlier.
struct probe_report {
    incarnation born; ///< 0 if the runner does not report it
    order_count orders;
    std::optional<group_membership> membership;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/reason.h"

namespace cedarpoint {

/// Logs why a daemon did not start; returns the process's exit code.
int report_failed_start(const reason& why);

} // namespace cedarpoint

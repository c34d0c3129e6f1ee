#pragma once

#include "cedarpoint/config/configuration.h"

#include <string>
#include <vector>

namespace cedarpoint {

/// One difference that applying a file would make.
struct plan_line {
    std::string kind; ///< "add", "change" or "remove"
    std::string what; ///< "replica_group llm"
};

/// What would differ, list by list, in the files' own order.
std::vector<plan_line> plan_change(const configuration& from, const configuration& to);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/configuration.h"

#include <string>
#include <vector>

namespace cedarpoint {

/// One change that applying a file would make.
struct plan_line {
    std::string kind; ///< "add", "change" or "remove"
    std::string what; ///< kind and id of the object, such as "replica_group llm"
};

/// Returns the changes between two configurations, list by list in the order of the files.
std::vector<plan_line> plan_change(const configuration& from, const configuration& to);

} // namespace cedarpoint

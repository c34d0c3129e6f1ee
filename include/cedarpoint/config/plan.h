#pragma once

#include "cedarpoint/config/configuration.h"

#include <string>
#include <vector>

namespace cedarpoint {

/// One change that applying a file would make.
struct plan_line {
    std::string kind; ///< "add", "change" or "remove"
    std::string what; ///< type and id of the object, such as "replica_group llm"
};

/// Returns the changes between two configurations, list by list. Within a list, additions and
/// changes come first, in the order of `to`, then removals.
std::vector<plan_line> plan_change(const configuration& from, const configuration& to);

} // namespace cedarpoint

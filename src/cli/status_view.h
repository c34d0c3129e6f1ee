#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace cedarpoint {

/// Formats the body of /v1/status as text: the daemon, its requests, logs, groups and nodes.
std::string format_status(const nlohmann::json& status);

} // namespace cedarpoint

#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace cedarpoint {

/// A status answer as a table for people.
std::string show_status(const nlohmann::json& status);

} // namespace cedarpoint

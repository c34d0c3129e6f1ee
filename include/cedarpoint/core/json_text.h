#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace cedarpoint {

/// Writes a JSON document. Unlike `dump` with its default arguments it never throws: what is not
/// UTF-8 becomes U+FFFD. `indent`: blanks per level; -1: on one line.
[[nodiscard]] std::string write_json(const nlohmann::json& in, int indent = -1);
[[nodiscard]] std::string write_json(const nlohmann::ordered_json& in, int indent = -1);

} // namespace cedarpoint

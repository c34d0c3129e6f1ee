#include "cedarpoint/core/json_text.h"

namespace cedarpoint {

std::string write_json(const nlohmann::json& in, int indent)
{
    return in.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string write_json(const nlohmann::ordered_json& in, int indent)
{
    return in.dump(indent, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace cedarpoint

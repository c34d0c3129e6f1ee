#include "daemon/engine_headers.h"

#include "io/http_message.h"

namespace cedarpoint {

bool is_private_header(std::string_view name)
{
    constexpr std::string_view own_prefix = "cedarpoint-";
    return equal_ignoring_case(name, "Authorization") ||
           equal_ignoring_case(name, engine_header::attempt) ||
           equal_ignoring_case(name.substr(0, own_prefix.size()), own_prefix);
}

} // namespace cedarpoint

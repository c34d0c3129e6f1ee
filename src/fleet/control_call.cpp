#include "cedarpoint/fleet/control_call.h"

#include <array>

namespace cedarpoint {

std::string_view name_of(control_call call)
{
    constexpr std::array<std::string_view, 8> names{
        "put_configuration", "get_configuration", "heartbeat",       "deregister",
        "check_readiness",   "list_quarantine",   "lift_quarantine", "unknown"};
    return names.at(static_cast<std::size_t>(call));
}

} // namespace cedarpoint

#include "cedarpoint/fleet/group_order.h"

#include <array>

namespace cedarpoint {

std::string_view name_of(order_kind kind)
{
    constexpr std::array<std::string_view, 4> names{"join", "open", "leave", "stage"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view name_of(order_result result)
{
    constexpr std::array<std::string_view, 6> names{"taken",   "unfit",     "fenced",
                                                    "refused", "unreached", "unknown"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace cedarpoint

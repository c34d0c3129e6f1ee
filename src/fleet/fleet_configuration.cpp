#include "cedarpoint/fleet/fleet_configuration.h"

#include <algorithm>

namespace cedarpoint {

const fleet_service* fleet_configuration::find_service(const service_id& name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const fleet_service& each) { return each.name == name; });
    return found == services.end() ? nullptr : &*found;
}

} // namespace cedarpoint

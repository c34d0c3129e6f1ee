#include "cedarpoint/fleet/fleet_configuration.h"

#include <algorithm>

namespace cedarpoint {

const fleet_service* fleet_configuration::find_service(const service_id& name) const
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const fleet_service& each) { return each.name == name; });
    return found == services.end() ? nullptr : &*found;
}

const engine_model* fleet_configuration::find_model(const service_id& service,
                                                    const model_id& model) const
{
    const auto* in = find_service(service);
    if (in == nullptr || !in->engine) {
        return nullptr;
    }
    const auto& models = in->engine->models;
    const auto found = std::find_if(models.begin(), models.end(),
                                    [&](const engine_model& each) { return each.name == model; });
    return found == models.end() ? nullptr : &*found;
}

} // namespace cedarpoint

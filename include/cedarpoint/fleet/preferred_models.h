#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <map>
#include <vector>

namespace cedarpoint {

/// A runner's place, as far as the choice of preferred models needs it.
struct runner_place {
    service_id service;
    failure_domain_id failure_domain;
    fabric_domain_id fabric_domain;
};

/// The model whose weights the runners of each fabric domain hold. In a fabric domain of one model
/// any free runner can replace any lost member at once; with several models the spares often hold
/// the other one's weights (round "one model's weights a fabric domain": TDV 0.734 -> 1.000).
class preferred_models {
public:
    preferred_models() = default;

    /// Gives each fabric domain one model of its service: first one that the failure domain does
    /// not have yet, then the one that is furthest below its share of the work. Where a service has
    /// more models than fabric domains, no domain prefers any: all models share them.
    [[nodiscard]] static preferred_models assign(const fleet_configuration& configuration,
                                                 const std::vector<runner_place>& runners);

    /// True if all models share the fabric domains.
    [[nodiscard]] bool empty() const { return by_domain_.empty(); }
    /// True if the domain prefers the model, or has no preference.
    [[nodiscard]] bool allows(const fabric_domain_id& domain, const model_id& model) const;

private:
    std::map<fabric_domain_id, model_id> by_domain_;
};

} // namespace cedarpoint

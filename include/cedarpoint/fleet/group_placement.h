#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/load_limiter.h"
#include "cedarpoint/fleet/placement_snapshot.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace cedarpoint {

/// A group that could be formed now.
struct proposed_group {
    const fleet_service* service = nullptr;
    const engine_model* model = nullptr;
    fabric_domain_id domain;
    std::vector<runner_id> members; ///< the head first
    std::size_t loads = 0;          ///< members that read weights from the store
    double cost = 0;                ///< the cheapest is formed first; see `placement_cost`
};

/// Chooses which free runners form which group next. A group lies in one fabric domain: groups over
/// several were tried twice and broke rule TWO (docs/DESIGN.md). Its members are those that
/// join soonest.
///
/// Before the first request weights are loaded while groups form. Once there is traffic no group
/// waits for weights, which takes 12 s and more and holds runners that could serve elsewhere (round
/// "groups waited for weights -> they are staged": 0.40 -> 0.68); `weight_staging` brings them to
/// free runners instead. Weights are loaded only in a domain that prefers the model.
class group_placement {
public:
    /// Empty if no group is wanted, fits, and may load its weights now.
    [[nodiscard]] static std::optional<proposed_group>
    propose(instant now, const placement_snapshot& in, const load_limiter& loads);

private:
    [[nodiscard]] static std::optional<proposed_group> propose_in(const placement_snapshot& in,
                                                                  const fabric_domain_id& domain,
                                                                  const fleet_service& service,
                                                                  const engine_model& model);
};

} // namespace cedarpoint

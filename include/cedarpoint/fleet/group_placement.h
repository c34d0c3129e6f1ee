#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/group_targets.h"
#include "cedarpoint/fleet/placement_snapshot.h"
#include "cedarpoint/fleet/weight_load_limiter.h"

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
    std::size_t loads = 0;          ///< members that load weights from the store
    double cost = 0; ///< the group with the lowest cost is formed first; see `placement_cost`
};

/// Chooses which free runners form the next group. A group lies within one fabric domain: groups
/// that span several were tried twice and violated rule TWO (docs/DESIGN.md). The members are the
/// runners that can join soonest.
///
/// Before the first request, groups load weights while they form. Once there is traffic, no group
/// waits for weights: loading takes 12 s or more and blocks runners that could serve elsewhere.
/// `weight_staging` copies weights to the hosts of free runners instead. Weights are loaded only in
/// a domain that prefers the model. Runners that are too few for a group of their loaded model join
/// for a crowded one.
class group_placement {
public:
    /// Returns the group with the lowest cost that fits and may load its weights now; empty if
    /// there is none.
    [[nodiscard]] static std::optional<proposed_group>
    propose(instant now, const placement_snapshot& in, const weight_load_limiter& loads);
    /// Returns the number of free runners in those fabric domains whose runners could form a group
    /// without the weight store. Once `propose` returns nothing, these are idle by choice: they
    /// would lose loaded weights of another model.
    [[nodiscard]] static std::size_t count_withheld(const placement_snapshot& in);

private:
    [[nodiscard]] static std::optional<proposed_group>
    find_cheapest(instant now, const placement_snapshot& in, const weight_load_limiter& loads,
                  model_switch allowed);
    [[nodiscard]] static std::optional<proposed_group>
    propose_in(const placement_snapshot& in, const fabric_domain_id& domain,
               const fleet_service& service, const engine_model& model, model_switch allowed);
};

} // namespace cedarpoint

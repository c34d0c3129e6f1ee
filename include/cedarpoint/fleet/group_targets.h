#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/placement_snapshot.h"

#include <cstddef>

namespace cedarpoint {

/// How many groups of a model there should be while it is not short of room.
///
/// Where fabric domains prefer one model each, every group that fits into the model's domains, one
/// at least: when one of them breaks, its survivors are spares for the others (round "all groups
/// that fit before requests": Potting Shed grown 0.750 -> 0.800). Where models share the domains,
/// as many of each model as leave some runners as spares.
[[nodiscard]] std::size_t base_groups(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& model);

/// How many groups of a model there should be now: `base_groups`, or one more than there are while
/// these are well used.
[[nodiscard]] std::size_t wanted_groups(const placement_snapshot& in, const fleet_service& service,
                                        const engine_model& model);

} // namespace cedarpoint

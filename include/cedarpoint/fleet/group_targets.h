#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/placement_snapshot.h"

#include <cstddef>

namespace cedarpoint {

/// How many groups of a model there should be while its work is not known: those that its share of
/// the runners makes, one at least.
[[nodiscard]] std::size_t base_groups(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& model);

/// The part of its slots that a model's work would take with this many groups; above 1 requests are
/// turned away. With none the work is not known, and the model counts as short of room.
[[nodiscard]] double utilization_with(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& model, std::size_t groups);

/// True if runners may change from groups of one model, of which `from_groups` are left then, to
/// groups of another. The weights that they have loaded are lost by it, and the store brings few
/// back in time: so the model that takes them must be short of room, and much shorter than the
/// other.
[[nodiscard]] bool is_worth_switching(const placement_snapshot& in, const fleet_service& service,
                                      const engine_model& from, std::size_t from_groups,
                                      const engine_model& to);

} // namespace cedarpoint

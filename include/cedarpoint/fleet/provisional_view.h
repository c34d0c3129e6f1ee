#pragma once

#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "control.pb.h"

#include <cstdint>

namespace cedarpoint {

/// What a control daemon tells an entry daemon that has no view at all while no leader is known:
/// the configuration, the runners and the groups that its log holds for certain. It may be older
/// than what a leader would tell; runners refuse what does not fit. `index` is that of the last
/// entry applied to `state`.
[[nodiscard]] wire::fleet_update make_provisional_view(const fleet_state& state,
                                                       const fleet_configuration& configuration,
                                                       std::uint64_t index);

} // namespace cedarpoint

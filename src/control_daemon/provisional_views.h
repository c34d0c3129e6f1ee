#pragma once

#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "control.pb.h"

#include <cstdint>

namespace cedarpoint {

/// Makes provisional views (see `build_provisional_view`): while no leader is known, an entry
/// daemon that has no view at all gets what this daemon's log holds for certain.
class provisional_views {
public:
    provisional_views(const platform_adapter& platform, const fleet_state& state);

    /// True if a follower that reports `in` has use for a provisional view as of `index`.
    [[nodiscard]] bool is_useful(const wire::fleet_follow& in, std::uint64_t index) const;
    /// The view as of the log's entry `index`, the last one applied to the state. Without items if
    /// the configuration can't be read.
    [[nodiscard]] const wire::fleet_update& at(std::uint64_t index);

private:
    void build(std::uint64_t index);

    const platform_adapter& platform_;
    const fleet_state& state_;
    wire::fleet_update latest_;
    std::uint64_t index_ = 0; ///< of `latest_`
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "control.pb.h"

#include <cstdint>

namespace cedarpoint {

/// Builds provisional views (see `build_provisional_view`): while no leader is known, an entry
/// daemon without a leader's view gets one from the committed entries of this daemon's log.
class provisional_views {
public:
    provisional_views(const platform_adapter& platform, const fleet_state& state);

    /// Returns true if a provisional view as of `index` is newer than the one of the follower that
    /// sent `in`, and that follower has no leader's view.
    [[nodiscard]] bool is_useful(const wire::fleet_follow& in, std::uint64_t index) const;
    /// Returns the view as of `index`, the last log entry that was applied to the state. It has no
    /// items if the configuration can't be parsed.
    [[nodiscard]] const wire::fleet_update& at(std::uint64_t index);

private:
    void build(std::uint64_t index);

    const platform_adapter& platform_;
    const fleet_state& state_;
    wire::fleet_update latest_;
    std::uint64_t index_ = 0; ///< log index of `latest_`
};

} // namespace cedarpoint

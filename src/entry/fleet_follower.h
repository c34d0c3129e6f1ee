#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/fleet_view.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// Finds the leading control daemon from the seeds and keeps a copy of its view. No I/O: messages
/// and time come in, messages go out through a hook.
class fleet_follower {
public:
    struct hooks {
        std::function<void(const daemon_id&, wire::envelope)> send;
        std::function<void(wire::fleet_follow&)> fill; ///< adds what this daemon saw
        std::function<void(view_copy::outcome)> on_view;
        std::function<void(const wire::fleet_update&)> on_update; ///< of the present leader
        /// A leader was found, or lost.
        std::function<void(const daemon_id&, bool found)> on_leader;
    };

    fleet_follower(const fleet_settings& own, hooks hooks);

    void tick(instant now);
    /// Tells the leader at once, not with the next tick.
    void hurry() { next_word_ = {}; }
    void receive(instant now, const wire::envelope& in);

    [[nodiscard]] const view_copy& view() const { return view_; }
    /// Entry daemons that follow the same leader, this one with them; 0 while that is not known.
    [[nodiscard]] std::size_t followers() const { return followers_; }
    [[nodiscard]] instant heard() const { return heard_; }
    [[nodiscard]] bool has_leader(instant now) const;

private:
    void speak(const daemon_id& to);
    void take_provisional(const wire::fleet_update& update);

    hooks hooks_;
    std::string failure_domain_;
    std::set<daemon_id> known_; ///< control daemons
    daemon_id leader_;
    instant heard_;
    instant next_word_;
    view_copy view_;
    bool behind_ = true;        ///< what the leader holds for sent is not here
    std::size_t followers_ = 0; ///< 0: not known yet
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/fleet_settings.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/fleet_view.h"
#include "cedarpoint/fleet/health_report.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cedarpoint {

/// Finds the leading control daemon from the seeds, sends it health reports, and keeps a copy of
/// its view. Does no I/O: messages and the time are arguments, and outgoing messages go through a
/// hook.
///
/// While no leader answers, the copy stays in use at any age, because runners refuse requests that
/// do not fit their state. Only a leader's view is accepted: what another control daemon has stored
/// may be older than what was acknowledged.
class fleet_follower {
public:
    struct hooks {
        std::function<void(const daemon_id&, wire::envelope)> send;
        std::function<health_report()> make_report;
        std::function<void(view_copy::outcome)> on_view;
        std::function<void(const wire::fleet_update&)> on_update; ///< from the current leader
        /// Called when a leader is found (`found`) or lost.
        std::function<void(const daemon_id&, bool found)> on_leader;
        seed_reader read_seeds; ///< called every second while no leader answers
        /// Called every second while no leader answers, with the time without one and the control
        /// daemons that are asked.
        std::function<void(duration, const std::set<daemon_id>&)> on_leader_missing;
    };

    fleet_follower(const fleet_settings& daemon_settings, hooks hooks);

    void tick(instant now);
    /// Sends a report with the next tick instead of at the end of the interval.
    void report_soon() { next_report_ = {}; }
    void receive(instant now, const wire::envelope& in);
    /// Records that a message could not be read. It may have been an update, and the next ones may
    /// repeat what made it unreadable, so reports ask for the whole view until an update applies.
    void on_unreadable_message() { needs_whole_view_ = true; }

    [[nodiscard]] const view_copy& view() const { return view_; }
    /// Returns how many entry daemons follow the leader, including this one; 0 while not known.
    [[nodiscard]] std::size_t followers() const { return followers_; }
    /// Returns the latest time at which the leader is known to have been active.
    [[nodiscard]] instant leader_active_at() const { return leader_active_at_; }
    [[nodiscard]] bool has_leader(instant now) const;
    /// Returns the leader; empty while none is known.
    [[nodiscard]] const daemon_id& leader() const { return leader_; }

private:
    void check_missing_leader(instant now);
    void report_to(instant now, const daemon_id& to);
    void apply_from_leader(instant now, const daemon_id& from, const wire::fleet_update& update);
    void note_members(const wire::fleet_update& update);
    void read_seeds();
    /// Returns the control daemons that may know a leader.
    [[nodiscard]] std::set<daemon_id> known_control_daemons() const;

    hooks hooks_;
    std::string failure_domain_;
    std::vector<daemon_id> seeds_;
    std::set<daemon_id> members_; ///< control daemons, from updates
    daemon_id leader_;            ///< empty while none is known
    instant leader_active_at_;
    std::optional<instant> leaderless_since_; ///< since this daemon has asked for a leader
    instant next_missing_check_;
    instant next_report_;
    view_copy view_;
    bool behind_ = true; ///< earlier updates are missing: the latest did not fit the copy
    bool needs_whole_view_ = false;
    std::size_t followers_ = 0; ///< 0: not known yet
};

} // namespace cedarpoint

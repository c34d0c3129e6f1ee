#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/announcement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// What the heartbeats and probe answers of a runner's latest incarnation report.
struct runner_record {
    announcement latest;
    instant last_contact; ///< time of the latest heartbeat or probe answer
    bool assumed = false; ///< taken from the replicated state; no heartbeat received by this leader
    bool superseded = false; ///< another runner has permanently taken its address
    bool dead = false;       ///< another runner answered at its address
    /// Time of the latest probe answer. Unlike a heartbeat, which may arrive seconds late, an
    /// answer proves that the runner was reachable.
    std::optional<instant> answered;
};

/// The runners that announce themselves. Soft state of the leading control daemon: a new leader
/// receives a heartbeat of every runner within one heartbeat interval.
class runner_registry {
public:
    /// Adds a runner from the replicated state. `now` counts as the time of its latest heartbeat
    /// until it sends one.
    void add_assumed(instant now, announcement assumed);
    /// Processes a heartbeat. Returns false if it is older than one processed before, or of an
    /// earlier incarnation.
    bool announce(instant now, const announcement& in);
    /// Records that a runner has answered a probe. The content of the answer does not replace the
    /// latest heartbeat: it is some hundred milliseconds old, and heartbeats report each change at
    /// once.
    void note_alive(instant now, const runner_id& runner);
    /// Records that another runner answered at the runner's address.
    void note_dead(const runner_id& runner);
    /// Removes runners without a heartbeat or answer for `keep`, and returns their ids.
    std::vector<runner_id> remove_silent(instant now, duration keep);
    void clear();

    [[nodiscard]] const runner_record* find(const runner_id& runner) const;
    /// Returns false once another runner has taken the same address.
    [[nodiscard]] bool owns_address(const runner_record& record) const;
    /// Returns true if the address that a heartbeat names belongs to another runner.
    [[nodiscard]] bool has_other_owner(const announcement& in) const
    {
        return find_other_owner(in).has_value();
    }
    /// Returns that other runner; empty if there is none.
    [[nodiscard]] std::optional<runner_id> find_other_owner(const announcement& in) const;
    /// Returns true unless the runner is known to be dead or replaced at its address.
    [[nodiscard]] bool is_present(const runner_record& record) const
    {
        return !record.dead && !record.superseded && owns_address(record);
    }
    [[nodiscard]] const std::map<runner_id, runner_record>& records() const { return records_; }
    /// Returns the time when a new runner, or a new incarnation of a runner, last announced itself;
    /// empty before the first.
    [[nodiscard]] std::optional<instant> latest_arrival() const { return latest_arrival_; }

private:
    void release_address(const runner_record& earlier, const announcement& in);
    [[nodiscard]] bool may_own(instant now, const announcement& in, bool begins_incarnation) const;

    std::map<runner_id, runner_record> records_;
    std::map<endpoint, runner_id> owners_;
    std::optional<instant> latest_arrival_;
};

} // namespace cedarpoint

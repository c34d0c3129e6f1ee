#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cedarpoint {

/// Why a daemon must not send requests to a runner at present.
enum class send_hold {
    none,
    paused, ///< the runner has asked this daemon for a pause
    leaving ///< the runner has signalled that it is leaving
};

/// Runners to which this daemon sends no requests because of signals in their answers. A hold is
/// not a mere preference among targets: it applies even if all other targets are full, and also to
/// a request that is waiting for its connection to the runner when the answer arrives. This is soft
/// state of one daemon.
///
/// A pause applies to this daemon alone and ends only when its time has passed. A later answer with
/// a shorter pause or none does not end it, nor does the runner's absence from the view. A leave
/// applies to all daemons and lasts for the rest of the runner's incarnation, even if its
/// heartbeats contradict it. An incarnation is one run of a runner's process under the runner's id;
/// a new incarnation inherits neither hold.
class send_holds {
public:
    /// Records that an answer, received at `now` from `runner` in its incarnation
    /// `its_incarnation`, asks for a pause of `time`.
    void on_pause(instant now, const runner_id& runner, incarnation its_incarnation, duration time);
    /// Records that an answer signals that the runner is leaving. Returns true if that is new.
    bool on_leaving(instant now, const runner_id& runner, incarnation its_incarnation);
    /// Records the current incarnation of the runner.
    void on_incarnation(instant now, const runner_id& runner, incarnation its_incarnation);
    /// Records the incarnations of all runners in a new view of the fleet.
    void on_incarnations(instant now, std::map<runner_id, incarnation> incarnations);

    /// Drops a leave. For callers that don't know the incarnations of runners: a runner that was
    /// absent may have returned in a new incarnation.
    void clear_leave(const runner_id& runner);

    [[nodiscard]] send_hold find(instant now, const runner_id& runner) const;
    /// Returns the end of the runner's pause; empty if it is not paused.
    [[nodiscard]] std::optional<instant> paused_until(instant now, const runner_id& runner) const;
    /// Returns the leaving runners, with the incarnations that are ending.
    [[nodiscard]] std::map<runner_id, incarnation> leaving() const;
    [[nodiscard]] std::size_t count_paused(instant now) const;
    [[nodiscard]] std::size_t count_leaving() const;

private:
    struct hold {
        incarnation its_incarnation;
        instant paused_at; ///< when the latest answer that asks for a pause was received
        instant paused_until;
        bool leaving = false;
        /// When the runner disappeared from the view, or its latest answer with a signal after
        /// that; empty while the view contains the runner.
        std::optional<instant> absent_since;
    };

    [[nodiscard]] hold& hold_of(instant now, const runner_id& runner, incarnation its_incarnation);
    static void reset_for_new_incarnation(instant now, incarnation its_incarnation, hold& of);
    [[nodiscard]] static bool is_expired(instant now, const hold& in);

    std::map<runner_id, incarnation> incarnations_; ///< of the runners in the current view
    std::map<runner_id, hold> holds_;
};

} // namespace cedarpoint

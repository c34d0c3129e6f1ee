#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <cstddef>
#include <map>
#include <optional>

namespace cedarpoint {

/// Why a runner may be sent nothing now.
enum class send_hold {
    none,
    paused, ///< it has asked this daemon for a pause
    leaving ///< it has said that it leaves
};

/// Runners that this daemon sends nothing to, because they have said so in their answers. A hold is
/// no preference among targets: it stands when all others are full, and also for a request that was
/// on its way to the runner when the answer came. Soft state of one daemon.
///
/// A pause is asked of this daemon alone, and only its time ends it: neither a later answer with a
/// shorter one or none, nor the runner's absence from the view. A leave is true for all daemons and
/// lasts as long as the runner's life, whatever its heartbeats still say. A new life under the same
/// id owes nothing of either.
class send_holds {
public:
    /// An answer that came at `now` from `runner` in its life `life` asks for a pause of `time`.
    void on_pause(instant now, const runner_id& runner, birth life, duration time);
    /// An answer says that the runner leaves. True if that was not known.
    bool on_leaving(instant now, const runner_id& runner, birth life);
    /// The runner is known to be in this life.
    void on_life(instant now, const runner_id& runner, birth life);
    /// The view shows the runners in these lives.
    void on_lives(instant now, std::map<runner_id, birth> lives);

    /// For runners whose lives are not told: one that was not there may be back in a new one.
    void forget_leave(const runner_id& runner);

    [[nodiscard]] send_hold find(instant now, const runner_id& runner) const;
    /// The end of the runner's pause; empty if it is not paused.
    [[nodiscard]] std::optional<instant> paused_until(instant now, const runner_id& runner) const;
    /// The runners that leave, in the lives that said so.
    [[nodiscard]] std::map<runner_id, birth> leaving() const;
    [[nodiscard]] std::size_t count_paused(instant now) const;
    [[nodiscard]] std::size_t count_leaving() const;

private:
    struct hold {
        birth life;
        instant paused_at; ///< when the latest answer came that asked for a pause
        instant paused_until;
        bool leaving = false;
        /// Empty while the view shows the runner; from its latest answer on, if that was later.
        std::optional<instant> absent_since;
    };

    [[nodiscard]] hold& hold_of(instant now, const runner_id& runner, birth life);
    static void begin_life(instant now, birth life, hold& of);
    [[nodiscard]] static bool is_over(instant now, const hold& in);

    std::map<runner_id, birth> lives_; ///< as the view shows them
    std::map<runner_id, hold> holds_;
};

} // namespace cedarpoint

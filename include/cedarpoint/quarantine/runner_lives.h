#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"

#include <deque>
#include <map>
#include <optional>

namespace cedarpoint {

/// When each life of the runners was heard. A connection to a runner that was cut may have been
/// reset on its way; that a later life of the runner is heard next shows that the process behind it
/// had ended. Soft state of the leading control daemon.
class runner_lives {
public:
    /// A heartbeat of the runner in this life has come. True if the life is new.
    bool on_heard(instant now, const runner_id& runner, birth life);
    /// The log holds the runner in this life; it has not spoken yet.
    void expect(const runner_id& runner, birth life);
    /// Another runner has begun at its address.
    void on_replaced(instant now, const runner_id& runner);
    void forget(const runner_id& runner) { runners_.erase(runner); }
    void clear() { runners_.clear(); }

    /// The latest life that had been heard at `at`; empty if none had.
    [[nodiscard]] std::optional<birth> life_at(const runner_id& runner, instant at) const;
    /// The life that a cut at `at` ended: it was not heard after that, and a later one was, soon.
    /// Empty while nothing shows that it has ended.
    [[nodiscard]] std::optional<birth> life_ended_by(const runner_id& runner, instant at) const;

private:
    struct heard_life {
        birth life;
        instant first_heard;
        instant last_heard;
    };
    struct history {
        std::deque<heard_life> lives; ///< the earliest first
        std::optional<instant> replaced_at;
    };
    using life_iterator = std::deque<heard_life>::const_iterator;

    [[nodiscard]] static life_iterator find_life(const history& in, instant at);

    std::map<runner_id, history> runners_;
};

} // namespace cedarpoint

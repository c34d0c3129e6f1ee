#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/pace_board.h"
#include "control.pb.h"

#include <map>
#include <set>
#include <string>

namespace cedarpoint {

/// What the entry daemons see of one runner, taken together.
struct runner_outlook {
    int in_flight = 0;
    bool progresses = false;   ///< some daemon gets bytes from it
    bool stands_still = false; ///< none gets any, and some waits for them or can't connect
    duration byte_age = duration::max(); ///< since any of them had a byte from it
    bool refused = false;                ///< its address refused a connection
    std::set<std::string> witnesses;     ///< failure domains whose daemons say that it stands still
};

/// The latest words of each entry daemon on the runners that it uses.
class sighting_board {
public:
    void put(instant now, const std::string& follower, const wire::fleet_follow& in);
    /// True if every entry daemon that speaks has tried the runner since `since` and found nobody.
    [[nodiscard]] bool is_unreachable_to_all(instant now, instant since,
                                             const runner_id& runner) const;
    [[nodiscard]] runner_outlook look(instant now, const runner_id& runner) const;
    /// Requests in flight at each runner, as the followers other than `asker` say.
    [[nodiscard]] std::map<runner_id, int> loads_without(instant now,
                                                         const std::string& asker) const;
    /// Entry daemons that have spoken lately.
    [[nodiscard]] std::size_t followers(instant now) const;
    /// Requests started for a model since the beginning, over all followers.
    [[nodiscard]] std::uint64_t started() const { return started_; }
    [[nodiscard]] const pace_board& paces() const { return paces_; }
    /// Requests for a model that found no place, lately; a second, about.
    [[nodiscard]] double refused_rate(instant now, const model_id& model) const;
    void clear();

private:
    struct words {
        instant at;
        std::string failure_domain;
        std::map<runner_id, wire::runner_sighting> sightings;
        std::map<runner_id, std::pair<instant, bool>> checks; ///< when, and whether it was reached
    };
    std::map<std::string, words> words_;
    struct fading_count {
        double value = 0;
        instant at;
    };
    static double faded(const fading_count& in, instant now);

    pace_board paces_;
    std::map<model_id, fading_count> refused_;
    std::uint64_t started_ = 0;
};

} // namespace cedarpoint

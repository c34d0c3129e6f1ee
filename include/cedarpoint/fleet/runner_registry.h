#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/announcement.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// A runner in its latest life, as its own heartbeats and answers told it.
struct runner_record {
    announcement latest;
    instant heard;           ///< its latest heartbeat or answer
    bool assumed = false;    ///< taken from the replicated state; has not spoken to this leader
    bool superseded = false; ///< another runner took its address for good
    bool dead = false;       ///< another runner answered at its address, or announced itself there
    /// Its latest answer to a look. Unlike a heartbeat, which may come seconds late, an answer
    /// shows that the way to it was open.
    std::optional<instant> answered;
};

/// Runners that announce themselves. Soft state of the leading control daemon: a new leader hears
/// everyone again within a heartbeat.
class runner_registry {
public:
    /// Takes a runner from the replicated state: it counts as heard now, until it speaks itself.
    void expect(instant now, announcement assumed);
    /// False for a heartbeat that is older than one taken before, or of an earlier life.
    bool announce(instant now, const announcement& in);
    /// A runner has answered a look. Only that is taken from it: the rest of its answer is some
    /// hundred milliseconds old, and its heartbeats tell each change at once.
    void note_alive(instant now, const runner_id& runner);
    /// Another runner answered at the runner's address.
    void note_dead(const runner_id& runner);
    /// Forgets runners that have been silent for `keep`; their ids.
    std::vector<runner_id> forget_silent(instant now, duration keep);
    void clear();

    [[nodiscard]] const runner_record* find(const runner_id& runner) const;
    /// False once another runner has announced itself under the same address.
    [[nodiscard]] bool owns_address(const runner_record& record) const;
    /// True if the address that a heartbeat names belongs to another runner.
    [[nodiscard]] bool has_other_owner(const announcement& in) const
    {
        return find_other_owner(in).has_value();
    }
    /// That runner; empty if there is none.
    [[nodiscard]] std::optional<runner_id> find_other_owner(const announcement& in) const;
    /// Present as far as is known: neither dead nor replaced at its address.
    [[nodiscard]] bool is_present(const runner_record& record) const
    {
        return !record.dead && !record.superseded && owns_address(record);
    }
    [[nodiscard]] const std::map<runner_id, runner_record>& records() const { return records_; }
    /// When the latest runner that was not known before announced itself; empty before the first.
    [[nodiscard]] std::optional<instant> latest_news() const { return latest_news_; }

private:
    void give_up_address(const runner_record& earlier, const announcement& in);
    [[nodiscard]] bool may_own(instant now, const announcement& in, bool news) const;

    std::map<runner_id, runner_record> records_;
    std::map<endpoint, runner_id> owners_;
    std::optional<instant> latest_news_;
};

} // namespace cedarpoint

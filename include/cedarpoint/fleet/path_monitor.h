#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// Why a daemon considers itself cut off from all runners.
enum class cut_evidence {
    failed_connect, ///< a connection attempt failed
    silent_runners  ///< runners with requests in flight have sent no byte
};

/// Returns the evidence's name in logs.
[[nodiscard]] std::string_view name_of(cut_evidence evidence);

/// Judges the paths from this daemon to runners by its own connections, and says nothing about the
/// runners themselves: other daemons may reach them. A path fails with a failed connection attempt
/// and until the next sign of life, which is an established connection or a received byte. The
/// daemon counts as cut off if no runner has given a sign of life for `cut_off_silence` while a
/// connection attempt failed or several runners owed a byte; the next sign of life of any runner
/// ends that.
class path_monitor {
public:
    /// Time without a sign of life from any runner after which the daemon may be cut off. The
    /// longest gap between events that routes usually aim at, so that streams rarely all exceed it.
    static constexpr duration cut_off_silence = milliseconds{300};

    struct cut_off {
        instant since; ///< time of the latest sign of life before it
        cut_evidence evidence = cut_evidence::failed_connect;
        bool is_confirmed = false; ///< a further connection attempt has failed
    };

    /// Sets the runners that requests can be sent to. Drops what is known of others.
    void set_runners(const std::set<runner_id>& runners);
    void on_reached(instant now, const runner_id& runner);
    /// Records that a connection attempt or a probe failed.
    void on_connect_failed(instant now, const runner_id& runner);
    /// Records since when runners with requests in flight have been silent, one entry for each that
    /// has been for at least `cut_off_silence`.
    void on_silence(instant now, const std::vector<instant>& silent_since);

    [[nodiscard]] bool is_failing(const runner_id& runner) const;
    /// Returns true if the next connection to the runner is likely to be established.
    [[nodiscard]] bool can_reach(const runner_id& runner) const;
    [[nodiscard]] const std::optional<cut_off>& cut() const { return cut_; }
    [[nodiscard]] std::size_t count_failing() const { return failing_.size(); }

    /// Returns the runners to probe now: each failing one at intervals, and one of all in turn
    /// while the daemon is cut off. Records them as probed.
    [[nodiscard]] std::vector<runner_id> take_due_probes(instant now);

private:
    [[nodiscard]] bool is_silent(instant now) const;
    void begin_cut(cut_evidence evidence);

    std::set<runner_id> runners_;
    std::map<runner_id, instant> failing_; ///< by runner, the time of the next probe
    instant latest_life_;                  ///< of any runner
    std::optional<cut_off> cut_;
    instant next_cut_probe_;
    runner_id latest_cut_probe_;
};

} // namespace cedarpoint

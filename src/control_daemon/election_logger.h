#pragma once

#include "cedarpoint/consensus/election_status.h"
#include "cedarpoint/core/time.h"

#include <map>
#include <optional>

namespace cedarpoint {

/// Writes a log line every second while a control daemon knows no leader: the state of its
/// election, and for each peer the votes requested, the replies, and whether there is a connection
/// to it.
class election_logger {
public:
    /// Counts a message of the log to a peer. `sent`: false if there was no connection and the
    /// message was dropped.
    void on_message(const member_id& to, bool sent);
    /// Writes a line if one is due. Call while no leader is known.
    void write_if_due(instant now, const election_status& status);
    /// Call while a leader is known.
    void on_leader() { leaderless_since_.reset(); }

private:
    struct traffic {
        int sent = 0;
        int dropped = 0;
    };

    std::optional<instant> leaderless_since_;
    instant next_line_;
    std::map<member_id, traffic> traffic_; ///< messages since the latest line
};

} // namespace cedarpoint

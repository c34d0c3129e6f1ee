#pragma once

#include "cedarpoint/consensus/election_status.h"
#include "cedarpoint/core/time.h"

#include <map>
#include <optional>

namespace cedarpoint {

/// Writes a line a second while a control daemon knows no leader: how its elections stand, what
/// each peer was asked and has answered, and whether there is a connection to it.
class election_log {
public:
    /// A message of the log was handed to the mesh; `sent`: there was a connection to take it.
    void on_message(const member_id& to, bool sent);
    void note(instant now, const election_status& status);
    /// A leader is known.
    void on_leader() { leaderless_since_.reset(); }

private:
    struct traffic {
        int sent = 0;
        int dropped = 0;
    };

    std::optional<instant> leaderless_since_;
    instant next_line_;
    std::map<member_id, traffic> traffic_; ///< since the latest line
};

} // namespace cedarpoint

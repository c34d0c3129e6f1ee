#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// Remembers which group served each session last, and so holds its state. Owns the table: an LRU
/// cache of `max_sessions`, without those idle for `idle_limit`. Sessions are per account: equal
/// names of two accounts are two sessions. Relies on its user to call `expire` now and then.
class session_table {
public:
    static constexpr duration idle_limit = std::chrono::hours{24};
    static constexpr std::size_t max_sessions = 200'000;

    /// Empty if the session is not known.
    [[nodiscard]] std::optional<group_id> find(const client_account_id& account,
                                               const session_id& session) const;
    /// Records where a session was served. True if it was served by another group before.
    bool place(instant now, const client_account_id& account, const session_id& session,
               const group_id& group);
    /// Forgets sessions idle for longer than `idle_limit`.
    void expire(instant now);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        group_id group;
        instant used;
        std::list<std::string>::iterator order;
    };

    std::unordered_map<std::string, entry> entries_;
    std::list<std::string> order_; ///< least recently used first
};

} // namespace cedarpoint

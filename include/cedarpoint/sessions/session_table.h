#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// Maps each session to the group that served it last and therefore holds its state. An LRU cache
/// of `max_sessions` entries, without those idle for longer than `idle_limit`. Session ids are
/// scoped to the account. The user must call `expire` periodically.
class session_table {
public:
    static constexpr duration idle_limit = std::chrono::hours{24};
    static constexpr std::size_t max_sessions = 200'000;

    /// Returns the group that served the session last; empty if the session is not known.
    [[nodiscard]] std::optional<group_id> find(const client_account_id& account,
                                               const session_id& session) const;
    /// Records that `group` serves the session. Returns true if another group served it before.
    bool place(instant now, const client_account_id& account, const session_id& session,
               const group_id& group);
    /// Removes sessions idle for longer than `idle_limit`.
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

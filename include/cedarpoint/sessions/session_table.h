#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// Which group holds each session's state. Bounded; the longest unused session goes first.
/// A session belongs to one account: another account's session of the same name is another one.
class session_table {
public:
    static constexpr duration idle_limit = std::chrono::hours{24};
    static constexpr std::size_t max_sessions = 200'000;

    [[nodiscard]] std::optional<group_id> find(const client_account_id& account,
                                               const session_id& session) const;
    /// Notes where a session was served. True if that moved it from another group.
    bool place(instant now, const client_account_id& account, const session_id& session,
               const group_id& group);
    void expire(instant now);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        group_id group;
        instant used;
        std::list<std::string>::iterator order;
    };

    std::unordered_map<std::string, entry> entries_;
    std::list<std::string> order_; ///< longest unused first
};

} // namespace cedarpoint

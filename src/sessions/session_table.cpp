#include "cedarpoint/sessions/session_table.h"

namespace cedarpoint {
namespace {

/// Joins the two ids with a zero byte, which neither contains: they come from JSON or a validated
/// header.
std::string key_of(const client_account_id& account, const session_id& session)
{
    return account.str() + '\0' + session.str();
}

} // namespace

std::optional<group_id> session_table::find(const client_account_id& account,
                                            const session_id& session) const
{
    const auto it = entries_.find(key_of(account, session));
    if (it == entries_.end()) {
        return {};
    }
    return it->second.group;
}

bool session_table::place(instant now, const client_account_id& account, const session_id& session,
                          const group_id& group)
{
    const auto key = key_of(account, session);
    if (const auto it = entries_.find(key); it != entries_.end()) {
        order_.splice(order_.end(), order_, it->second.order);
        it->second.used = now;
        const bool moved = it->second.group != group;
        it->second.group = group;
        return moved;
    }
    entries_.emplace(key, entry{group, now, order_.insert(order_.end(), key)});
    if (entries_.size() > max_sessions) {
        entries_.erase(order_.front());
        order_.pop_front();
    }
    return false;
}

void session_table::expire(instant now)
{
    while (!order_.empty() && now - entries_.at(order_.front()).used > idle_limit) {
        entries_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace cedarpoint

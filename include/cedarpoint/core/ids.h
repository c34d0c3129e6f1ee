#pragma once

#include "cedarpoint/core/text.h"

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace cedarpoint {

/// A textual identifier. `Tag` gives each kind of id a type of its own: ids of different kinds can
/// be neither compared nor converted. It can hold only text, because a message between daemons with
/// other bytes in one id could not be read at all.
template <class Tag>
class id {
public:
    id() = default;
    /// Bytes that are no text become U+FFFD. Where an id selects something, use `read`.
    explicit id(std::string value) : value_{to_text(std::move(value))} {}
    /// Returns the id, or nothing if `bytes` are empty or no text.
    [[nodiscard]] static std::optional<id> read(std::string_view bytes)
    {
        return bytes.empty() || !is_text(bytes) ? std::nullopt
                                                : std::optional{id{std::string{bytes}}};
    }

    [[nodiscard]] const std::string& str() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    friend auto operator<=>(const id&, const id&) = default;

private:
    std::string value_;
};

using node_id = id<struct node_tag>;                     ///< one machine
using runner_id = id<struct runner_tag>;                 ///< one engine or service process
using group_id = id<struct group_tag>;                   ///< one replica: "pool/0"
using pool_id = id<struct pool_tag>;                     ///< one declaration of replica groups
using service_id = id<struct service_tag>;               ///< a plain service
using model_id = id<struct model_tag>;                   ///< a model's name
using prompt_part_id = id<struct prompt_part_tag>;       ///< a part that prompts may share
using client_account_id = id<struct client_account_tag>; ///< one customer
using failure_domain_id = id<struct failure_domain_tag>; ///< one zone
using fabric_domain_id = id<struct fabric_domain_tag>;   ///< nodes on one high-speed interconnect
using daemon_id = id<struct daemon_tag>;                 ///< one cedarpoint process
using session_id = id<struct session_tag>;               ///< a caller's conversation
using request_id = id<struct request_tag>;               ///< one request of a caller
using change_id = id<struct change_tag>;                 ///< one change made by an operator

} // namespace cedarpoint

template <class Tag>
struct std::hash<cedarpoint::id<Tag>> {
    std::size_t operator()(const cedarpoint::id<Tag>& it) const noexcept
    {
        return std::hash<std::string>{}(it.str());
    }
};

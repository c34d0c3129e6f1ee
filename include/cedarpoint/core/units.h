#pragma once

#include <compare>
#include <cstdint>

namespace cedarpoint {

/// An unsigned number of one kind. `Tag` gives each kind a type of its own; kinds do not convert.
template <class Tag>
struct quantity {
    std::uint64_t value = 0;
    friend auto operator<=>(const quantity&, const quantity&) = default;
};

using revision = quantity<struct revision_tag>; ///< configuration revision; 0 before the first
using epoch = quantity<struct epoch_tag>;       ///< fencing number of a group's assignment
/// One run of a runner's process under the runner's id, named by its start time in Unix
/// milliseconds by the runner's own clock. 0 if the platform does not report it; each process then
/// has an id of its own.
using incarnation = quantity<struct incarnation_tag>;
/// Number of orders that one run of a runner's process has begun; 0 at its start.
using order_count = quantity<struct order_count_tag>;
using attempt_id = quantity<struct attempt_tag>; ///< one dispatch of a request to a runner

} // namespace cedarpoint

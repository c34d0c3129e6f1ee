#pragma once

#include <compare>
#include <cstdint>

namespace cedarpoint {

/// A counted quantity of one kind; kinds do not mix.
template <class Tag>
struct quantity {
    std::uint64_t value = 0;
    friend auto operator<=>(const quantity&, const quantity&) = default;
};

using revision = quantity<struct revision_tag>; ///< of the configuration; 0 before the first
using epoch = quantity<struct epoch_tag>;       ///< fencing number of a group's assignment
/// When a runner's life began, in Unix milliseconds by its own clock: its lives under one id differ
/// in it. 0 where the platform does not tell it; then each life has an id of its own.
using birth = quantity<struct birth_tag>;
using attempt_id = quantity<struct attempt_tag>; ///< one dispatch of a request to a runner

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/units.h"

#include <cstdint>

namespace cedarpoint {

/// Makes the epochs of one leader's orders to join. Each is higher than all before it, including
/// those of earlier leaders: it consists of the leader's term and, in `term_shift` low bits, a
/// counter.
class epoch_source {
public:
    void begin_term(std::uint64_t term) { latest_ = term << term_shift; }
    [[nodiscard]] epoch next() { return epoch{++latest_}; }

private:
    static constexpr unsigned term_shift = 20;

    std::uint64_t latest_ = 0;
};

} // namespace cedarpoint

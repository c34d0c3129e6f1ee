#pragma once

#include "cedarpoint/core/time.h"

#include <cstddef>

namespace cedarpoint {

/// Makes the allocator return large blocks to the system as soon as they are freed. Call it once,
/// when the process starts.
void configure_allocator();

/// Returns freed small blocks to the system after a peak. The allocator keeps them otherwise, and
/// they count as memory of the process.
class memory_trimmer {
public:
    /// `held`: bytes that requests and answers hold now.
    void tick(instant now, std::size_t held);

private:
    std::size_t peak_ = 0; ///< of `held` since the latest trim
    instant checked_at_;
};

} // namespace cedarpoint

#include "io/process_memory.h"

#include <algorithm>
#include <malloc.h>

namespace cedarpoint {
namespace {

/// Blocks of this size in bytes and larger are mapped one by one. Set explicitly, because the
/// allocator raises its own threshold with the first such block that is freed.
constexpr int mapped_block = 128 << 10;
constexpr duration trim_interval = seconds{1};
/// Freed bytes that are worth a trim, which walks through the whole heap.
constexpr std::size_t least_freed = std::size_t{8} << 20;

} // namespace

void configure_allocator()
{
    ::mallopt(M_MMAP_THRESHOLD, mapped_block);
}

void memory_trimmer::tick(instant now, std::size_t held)
{
    peak_ = std::max(peak_, held);
    if (now - checked_at_ < trim_interval) {
        return;
    }
    checked_at_ = now;
    if (peak_ - held >= least_freed) {
        ::malloc_trim(0);
        peak_ = held;
    }
}

} // namespace cedarpoint

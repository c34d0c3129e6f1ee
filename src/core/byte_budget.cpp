#include "cedarpoint/core/byte_budget.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {

struct byte_budget::state {
    struct entry {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
        grant_handler on_grant;
    };
    using queue = std::list<entry>;

    limits bounds;
    std::size_t reserved = 0;
    std::uint64_t latest_number = 0;
    queue small_ones;
    queue large_ones;

    [[nodiscard]] bool is_small(std::size_t bytes) const { return bytes <= bounds.small; }
    queue& queue_for(std::size_t bytes) { return is_small(bytes) ? small_ones : large_ones; }
    /// An empty budget grants any size, so that nobody waits for ever.
    [[nodiscard]] bool fits(std::size_t bytes, std::size_t limit) const
    {
        return reserved == 0 || reserved + bytes <= limit;
    }
    [[nodiscard]] std::size_t limit_for(std::size_t bytes) const
    {
        return is_small(bytes) ? bounds.all : bounds.for_large;
    }
    /// Takes the first entry out of the queue if it fits now.
    static std::list<entry> take_first(state& from, queue& out_of)
    {
        queue first;
        if (!out_of.empty() &&
            from.fits(out_of.front().bytes, from.limit_for(out_of.front().bytes))) {
            from.reserved += out_of.front().bytes;
            first.splice(first.begin(), out_of, out_of.begin());
        }
        return first;
    }
};

byte_budget::reservation::reservation(std::shared_ptr<state> owner, std::size_t bytes)
    : owner_{std::move(owner)}, bytes_{bytes}
{
}

byte_budget::reservation::~reservation()
{
    release();
}

byte_budget::reservation::reservation(reservation&& other) noexcept
    : owner_{std::move(other.owner_)}, bytes_{std::exchange(other.bytes_, 0)}
{
}

byte_budget::reservation& byte_budget::reservation::operator=(reservation&& other) noexcept
{
    if (this != &other) {
        release();
        owner_ = std::move(other.owner_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

void byte_budget::reservation::merge(reservation other)
{
    bytes_ += std::exchange(other.bytes_, 0);
    if (owner_ == nullptr) {
        owner_ = std::move(other.owner_);
    }
}

void byte_budget::reservation::release()
{
    const auto owner = std::exchange(owner_, nullptr);
    if (owner == nullptr) {
        return;
    }
    owner->reserved -= std::exchange(bytes_, 0);
    for (auto* queue : {&owner->small_ones, &owner->large_ones}) {
        for (auto first = state::take_first(*owner, *queue); !first.empty();
             first = state::take_first(*owner, *queue)) {
            first.front().on_grant(reservation{owner, first.front().bytes});
        }
    }
}

byte_budget::waiter::waiter(std::shared_ptr<state> owner, std::uint64_t number)
    : owner_{std::move(owner)}, number_{number}
{
}

byte_budget::waiter::~waiter()
{
    for (auto* queue : {&owner_->small_ones, &owner_->large_ones}) {
        std::erase_if(*queue, [this](const auto& each) { return each.number == number_; });
    }
}

byte_budget::byte_budget(limits bounds) : state_{std::make_shared<state>()}
{
    state_->bounds = bounds;
}

byte_budget::~byte_budget() = default;

bool byte_budget::try_grow(reservation& out, std::size_t bytes)
{
    if (bytes <= out.bytes_) {
        return true;
    }
    const auto added = bytes - out.bytes_;
    if (!state_->queue_for(bytes).empty() || !state_->fits(added, state_->limit_for(bytes))) {
        return false;
    }
    state_->reserved += added;
    out.merge(reservation{state_, added});
    return true;
}

std::unique_ptr<byte_budget::waiter> byte_budget::wait(std::size_t bytes, grant_handler on_grant)
{
    const auto number = ++state_->latest_number;
    state_->queue_for(bytes).push_back({number, bytes, std::move(on_grant)});
    return std::unique_ptr<waiter>{new waiter{state_, number}};
}

std::size_t byte_budget::reserved() const
{
    return state_->reserved;
}

std::size_t byte_budget::waiting() const
{
    return state_->small_ones.size() + state_->large_ones.size();
}

} // namespace cedarpoint

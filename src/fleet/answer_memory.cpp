#include "cedarpoint/fleet/answer_memory.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {

answer_memory::holder::holder(answer_memory& owner, excess_handler on_excess)
    : owner_{owner}, on_excess_{std::move(on_excess)}, number_{++owner.latest_number_}
{
}

answer_memory::holder::~holder()
{
    release();
}

void answer_memory::holder::set(std::size_t size, std::size_t reserved)
{
    auto& owner = owner_; // a handler may destroy this holder
    owner.held_ += reserved - std::exchange(reserved_, reserved);
    owner.holders_.emplace(number_, this);
    if (size > owner.limits_.one_answer) {
        owner.end(*this, "the answer is too large");
    }
    // The answer that holds the most grows fastest or has no end, and the others can go on.
    while (owner.held_ > owner.limits_.all_answers) {
        owner.end(owner.largest(), "too many bytes of answers are held");
    }
}

void answer_memory::holder::release()
{
    owner_.held_ -= std::exchange(reserved_, 0);
    owner_.holders_.erase(number_);
}

void answer_memory::end(holder& its, std::string_view why)
{
    its.release();
    const auto on_excess = its.on_excess_;
    on_excess(why);
}

answer_memory::holder& answer_memory::largest() const
{
    const auto found =
        std::max_element(holders_.begin(), holders_.end(), [](const auto& a, const auto& b) {
            return a.second->reserved() < b.second->reserved();
        });
    return *found->second;
}

} // namespace cedarpoint

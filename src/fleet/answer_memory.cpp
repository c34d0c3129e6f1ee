#include "cedarpoint/fleet/answer_memory.h"

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
    while (owner.held_ + owner.unwritten() > owner.limits_.all_answers) {
        auto* const found = owner.largest([](const holder& each, const limits& bounds) {
            return each.pass_on_ != nullptr && each.reserved_ >= bounds.least_passed_on;
        });
        if (found == nullptr) {
            break;
        }
        owner.pass_on(*found);
    }
    // The answer that holds the most grows fastest or has no end, and the others can go on.
    while (owner.held_ > owner.limits_.all_answers) {
        auto* const found = owner.largest([](const holder&, const limits&) { return true; });
        owner.end(*found, "too many bytes of answers are held");
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

void answer_memory::pass_on(holder& its)
{
    its.release();
    const auto pass_on = std::exchange(its.pass_on_, nullptr);
    pass_on();
}

answer_memory::holder* answer_memory::largest(bool (*is_eligible)(const holder&,
                                                                  const limits&)) const
{
    holder* out = nullptr;
    for (const auto& [number, each] : holders_) {
        if (is_eligible(*each, limits_) && (out == nullptr || each->reserved_ > out->reserved_)) {
            out = each;
        }
    }
    return out;
}

} // namespace cedarpoint

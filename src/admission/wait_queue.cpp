#include "cedarpoint/admission/wait_queue.h"

#include <algorithm>

namespace cedarpoint {
namespace {

/// Returns the effective class of a request: one class higher than `own` after `promote_after`.
std::size_t rank_of(const waiting& it, std::size_t own, instant now)
{
    const bool promoted = own > 0 && now - it.since >= wait_queue::promote_after;
    return promoted ? own - 1 : own;
}

} // namespace

bool wait_queue::push(const waiting& it)
{
    if (size_ >= max_length) {
        return false;
    }
    const auto n = static_cast<std::size_t>(it.priority);
    auto& own = by_class_[n][it.account];
    if (own.requests.empty()) {
        // Idle time earns no credit: an account that was idle starts no earlier than the others.
        own.virtual_time = std::max(own.virtual_time, clock_[n]);
    }
    own.requests.push_back(it);
    ++size_;
    return true;
}

std::optional<request_id> wait_queue::find_victim(priority_class priority)
{
    for (std::size_t n = class_count; n-- > static_cast<std::size_t>(priority) + 1;) {
        const waiting* newest = nullptr;
        for (const auto& [account, it] : by_class_[n]) {
            if (!it.requests.empty() &&
                (newest == nullptr || it.requests.back().since > newest->since)) {
                newest = &it.requests.back();
            }
        }
        if (newest != nullptr) {
            return newest->request;
        }
    }
    return {};
}

std::optional<request_id> wait_queue::next(instant now) const
{
    const waiting* best = nullptr;
    std::size_t best_class = class_count;
    double best_time = 0;
    for (std::size_t n = 0; n < class_count; ++n) {
        for (const auto& [account, own] : by_class_[n]) {
            if (own.requests.empty()) {
                continue;
            }
            const auto& front = own.requests.front();
            const auto rank = rank_of(front, n, now);
            if (rank < best_class || (rank == best_class && own.virtual_time < best_time)) {
                best = &front;
                best_class = rank;
                best_time = own.virtual_time;
            }
        }
    }
    if (best == nullptr) {
        return {};
    }
    return best->request;
}

void wait_queue::remove(const request_id& request, bool served)
{
    for (std::size_t n = 0; n < class_count; ++n) {
        for (auto& [account, own] : by_class_[n]) {
            const auto it = std::find_if(own.requests.begin(), own.requests.end(),
                                         [&](const waiting& e) { return e.request == request; });
            if (it == own.requests.end()) {
                continue;
            }
            if (served) {
                clock_[n] = std::max(clock_[n], own.virtual_time);
                own.virtual_time += 1.0 / it->weight;
            }
            own.requests.erase(it);
            --size_;
            return;
        }
    }
}

std::vector<request_id> wait_queue::expire(instant now)
{
    std::vector<request_id> out;
    for (auto& all : by_class_) {
        for (auto& [account, own] : all) {
            const auto gone =
                std::stable_partition(own.requests.begin(), own.requests.end(),
                                      [&](const waiting& e) { return e.expires_at > now; });
            for (auto it = gone; it != own.requests.end(); ++it) {
                out.push_back(it->request);
            }
            size_ -= static_cast<std::size_t>(own.requests.end() - gone);
            own.requests.erase(gone, own.requests.end());
        }
    }
    return out;
}

} // namespace cedarpoint

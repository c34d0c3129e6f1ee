#include "cedarpoint/claims/claim_table.h"

#include <algorithm>

namespace cedarpoint {

void claim_table::remove_expired(std::uint64_t now_ms)
{
    latest_ms_ = std::max(latest_ms_, now_ms);
    while (!by_age_.empty() && by_age_.front().first + window_ms < latest_ms_) {
        const auto it = records_.find(by_age_.front().second);
        if (it != records_.end() && it->second.claimed_ms == by_age_.front().first) {
            records_.erase(it);
        }
        by_age_.pop_front();
    }
}

claim_verdict claim_table::begin(const claim_key& key, const request_id& holder,
                                 std::uint64_t now_ms)
{
    remove_expired(now_ms);
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.outcome == claim_outcome::not_run &&
        it->second.holder == holder) {
        return claim_verdict::unavailable; // a late retry of a claim that was released
    }
    const bool free = it == records_.end() || it->second.outcome == claim_outcome::not_run;
    if (free) {
        records_[key] = {holder, claim_outcome::running, latest_ms_};
        by_age_.emplace_back(latest_ms_, key);
        return claim_verdict::granted;
    }
    switch (it->second.outcome) {
    case claim_outcome::running:
        return it->second.holder == holder ? claim_verdict::granted : claim_verdict::running;
    case claim_outcome::ran:
        return claim_verdict::already_ran;
    default:
        return claim_verdict::unknown_outcome;
    }
}

void claim_table::finish(const claim_key& key, const request_id& holder, claim_outcome outcome)
{
    const auto it = records_.find(key);
    if (it != records_.end() && it->second.holder == holder &&
        it->second.outcome == claim_outcome::running) {
        it->second.outcome = outcome;
    }
}

void claim_table::restore(const claim_key& key, record it)
{
    latest_ms_ = std::max(latest_ms_, it.claimed_ms);
    by_age_.emplace_back(it.claimed_ms, key);
    records_[key] = std::move(it);
    std::sort(by_age_.begin(), by_age_.end());
}

} // namespace cedarpoint

#pragma once

#include "cedarpoint/claims/claim.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace cedarpoint {

/// The holder and outcome of each claimed key; part of a failure domain's replicated state.
/// Owns the claims of the last 24 h. All replicas must apply the same commands in the same order,
/// so the time is part of the command (Unix time in ms).
class claim_table {
public:
    /// Retention time of a claim: 24 h in ms, as docs/API.md specifies for `Idempotency-Key`. A
    /// request that repeats its key later runs again.
    static constexpr std::uint64_t window_ms = 24ULL * 3600 * 1000;

    struct record {
        request_id holder;
        claim_outcome outcome = claim_outcome::running;
        std::uint64_t claimed_ms = 0;
    };

    /// Claims the key for `holder`. Idempotent: if the holder retries because the answer was lost,
    /// it gets the same grant.
    claim_verdict begin(const claim_key& key, const request_id& holder, std::uint64_t now_ms);
    /// Records the outcome. Ignored unless `holder` holds the claim and its outcome is `running`.
    void finish(const claim_key& key, const request_id& holder, claim_outcome outcome);

    [[nodiscard]] const std::map<claim_key, record>& records() const { return records_; }
    void restore(const claim_key& key, record it);

private:
    void remove_expired(std::uint64_t now_ms);

    std::map<claim_key, record> records_;
    std::deque<std::pair<std::uint64_t, claim_key>> by_age_;
    std::uint64_t latest_ms_ = 0; ///< never decreases, even if a proposer's clock is behind
};

} // namespace cedarpoint

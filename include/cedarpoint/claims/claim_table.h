#pragma once

#include "cedarpoint/claims/claim.h"

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace cedarpoint {

/// The holder and outcome of each claimed key, part of a failure domain's replicated state.
/// Owns: the claims of the last 24 h. Relies on: all replicas applying the same commands in the
/// same order; so time comes with the command (wall time, ms).
class claim_table {
public:
    /// A key is remembered for this long after its claim (24 h, in ms): what docs/API.md promises
    /// for `Idempotency-Key`. A key that is repeated later runs again.
    static constexpr std::uint64_t window_ms = 24ULL * 3600 * 1000;

    struct record {
        request_id holder;
        claim_outcome outcome = claim_outcome::running;
        std::uint64_t claimed_ms = 0;
    };

    /// Idempotent: a retry by the holder gets the same grant, as the first answer may have been
    /// lost.
    claim_verdict begin(const claim_key& key, const request_id& holder, std::uint64_t now_ms);
    /// Ignored unless `holder` holds the claim and has not finished it yet.
    void finish(const claim_key& key, const request_id& holder, claim_outcome outcome);

    [[nodiscard]] const std::map<claim_key, record>& records() const { return records_; }
    void restore(const claim_key& key, record it);

private:
    void forget_old(std::uint64_t now_ms);

    std::map<claim_key, record> records_;
    std::deque<std::pair<std::uint64_t, claim_key>> by_age_;
    std::uint64_t latest_ms_ = 0; ///< monotonic, also if a proposer's clock is behind
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"

#include <compare>
#include <string>

namespace cedarpoint {

/// A caller's idempotency key. Keys are scoped to the account.
struct claim_key {
    client_account_id account;
    std::string key;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// The outcome of a claimed request.
enum class claim_outcome {
    running,      ///< the holder has not reported an outcome yet
    ran,          ///< it ran and the caller received the whole response
    may_have_run, ///< it was interrupted after its first byte was sent to a runner
    not_run       ///< the holder released the claim before a byte was sent: the key is free again
};

/// The answer to a claim.
enum class claim_verdict {
    granted,         ///< only this holder may run the request
    running,         ///< another holder has the claim
    already_ran,     ///< the request ran
    unknown_outcome, ///< the request may have run
    unavailable      ///< no answer from the home domain's leader in time: the request must not run
};

} // namespace cedarpoint

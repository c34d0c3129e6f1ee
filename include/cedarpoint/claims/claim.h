#pragma once

#include "cedarpoint/core/ids.h"

#include <compare>
#include <string>

namespace cedarpoint {

/// A caller's idempotency key. Keys of different accounts are different keys.
struct claim_key {
    client_account_id account;
    std::string key;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// The outcome of a claimed request.
enum class claim_outcome {
    running,      ///< its holder has not reported an outcome
    ran,          ///< it ran and its caller got the whole answer
    may_have_run, ///< it was interrupted after its first byte was sent to a runner
    not_run       ///< its holder released the claim before a byte was sent: the key is free again
};

/// The answer to a claim.
enum class claim_verdict {
    granted,     ///< this holder, and no other, may run it
    running,     ///< another holder has the claim
    already_ran, ///< it ran
    unknown_end, ///< it may have run
    unavailable  ///< the home domain's leader did not answer in time: nothing may run
};

} // namespace cedarpoint

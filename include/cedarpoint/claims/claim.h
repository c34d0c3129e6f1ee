#pragma once

#include "cedarpoint/core/ids.h"

#include <compare>
#include <string>

namespace cedarpoint {

/// A caller's key for a request that must run at most once. Keys of two accounts never meet.
struct claim_key {
    client_account_id account;
    std::string key;
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
};

/// What is known of a claimed request.
enum class claim_outcome {
    running,      ///< its holder has not reported an end
    ran,          ///< it ran and its caller got the whole answer
    may_have_run, ///< it was cut somewhere after the first byte went to a runner
    not_run       ///< its holder gave it up unsent: the key is free again
};

/// The answer to a claim.
enum class claim_verdict {
    granted,     ///< the asker, and no one else, may run it
    running,     ///< another holder has it
    already_ran, ///< it ran
    unknown_end, ///< it may have run
    unavailable  ///< no authority could be asked: nothing may run
};

} // namespace cedarpoint

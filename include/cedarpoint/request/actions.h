#pragma once

#include "cedarpoint/claims/claim.h"
#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/request/refusal.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace cedarpoint {

/// Sends a request to a runner.
struct start_attempt {
    request_id request;
    attempt_id attempt;
    runner_id upstream;
    endpoint address;
    epoch assignment; ///< the group's fencing token; 0 for plain services
    priority_class priority = priority_class::normal;
    std::uint64_t resume_after = 0; ///< number of whole events that the caller already has
};

/// Cancels a running attempt; its response is no longer needed.
struct cancel_attempt {
    attempt_id attempt;
};

/// Answers the caller with an error. No further action concerns this caller.
struct refuse {
    request_id request;
    refusal error;
};

/// Claims the key in the account's home failure domain. The result goes to
/// `dispatcher::claim_answered`.
struct ask_claim {
    request_id request;
    claim_key key;
    failure_domain_id home;
};

/// Reports the outcome of a claimed request to the account's home failure domain.
struct end_claim {
    request_id request;
    claim_key key;
    failure_domain_id home;
    claim_outcome outcome = claim_outcome::may_have_run;
};

/// Checks whether the runner has ended by a connection to its address. The result goes to
/// `dispatcher::runner_checked`.
struct check_runner {
    runner_id runner;
    endpoint address;
};

/// One routing decision, for the log and for `explain`.
struct decision {
    request_id request;
    client_account_id account;
    std::string step;       ///< "route", "queue", "refuse", "retry", "resume", "end" ...
    std::string chosen;     ///< group or upstream; empty if none was chosen
    std::string candidates; ///< "id:score" or "id:why not", separated by blanks
    std::string reason;
};

/// What the dispatcher's caller must do, in order.
using action = std::variant<start_attempt, cancel_attempt, refuse, ask_claim, end_claim,
                            check_runner, decision>;
using actions = std::vector<action>;

} // namespace cedarpoint

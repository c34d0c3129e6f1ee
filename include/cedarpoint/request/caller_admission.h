#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/request/refusal.h"
#include "cedarpoint/request/request_facts.h"
#include "cedarpoint/routing/router.h"

#include <string>
#include <variant>

namespace cedarpoint {

// Decides whether a request is admitted and which targets may serve it. Pure functions of the
// request, the configuration in force and the present time. The account's limits are checked later,
// by `account_limits`.

/// An admitted request.
struct admitted_call {
    client_account_id account;
    int weight = 1; ///< the account's weight in the queue
    priority_class priority = priority_class::normal;
    failure_domain_id home; ///< the account's home, which stores its claims
    instant expires_at;     ///< time at which it is refused if still unanswered
    bool repeatable = true; ///< may be sent again even if a runner may have run it
    route_query query;      ///< the targets that may serve it
    std::string queue_key;  ///< key of its wait queue: one queue for each set of routes
};

/// A request that is refused at admission.
struct refused_call {
    client_account_id account; ///< empty if no account has the key
    refusal error;
};

using caller_verdict = std::variant<admitted_call, refused_call>;

/// Checks the key, the priority, the deadline and the route, in this order. A request without a
/// deadline may wait for `longest_wait`. `config` is null while no configuration is in force; every
/// key is then unknown.
[[nodiscard]] caller_verdict admit_caller(instant now, const request_facts& facts,
                                          const configuration* config, duration longest_wait);

/// Returns the account whose key has this digest (lower-case hex SHA-256), or null if there is
/// none. Always compares with every account, so that the time taken reveals nothing about the keys.
[[nodiscard]] const account_spec* find_account_by_key(const configuration* config,
                                                      const std::string& key_digest);

} // namespace cedarpoint

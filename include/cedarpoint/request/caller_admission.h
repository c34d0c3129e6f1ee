#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/request/refusal.h"
#include "cedarpoint/request/request_facts.h"
#include "cedarpoint/routing/router.h"

#include <string>
#include <variant>

namespace cedarpoint {

// Who is admitted, and where its request may go. Pure functions of the request, the
// configuration in force and the present time; the account's limits are checked after them.

/// A request that may be served.
struct admitted_call {
    client_account_id account;
    int weight = 1; ///< of the account, for its share of the queue
    priority_class priority = priority_class::normal;
    failure_domain_id home; ///< of the account: keeps the claims of its keyed requests
    instant give_up;        ///< unanswered at this time, it gets an error
    bool repeatable = true; ///< may be sent again although a runner may have run it
    route_query query;      ///< which places would do
    std::string lane;       ///< the queue that it waits in: one for each set of routes
};

/// A request that is not served.
struct refused_call {
    client_account_id account; ///< empty if no account has the key
    refusal error;
};

using caller_verdict = std::variant<admitted_call, refused_call>;

/// Checks, in this order: the key, the priority, the deadline, the route. Without a deadline the
/// request may wait `longest_wait`. `config` is null while none is in force: then no key is known.
[[nodiscard]] caller_verdict admit_caller(instant now, const request_facts& facts,
                                          const configuration* config, duration longest_wait);

/// The account whose key has this digest (lower-case hex SHA-256); null if there is none. Looks
/// at every account, so that the time taken tells nothing about the keys.
[[nodiscard]] const account_spec* find_account_by_key(const configuration* config,
                                                      const std::string& key_digest);

} // namespace cedarpoint

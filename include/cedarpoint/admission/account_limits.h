#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/request/refusal.h"

#include <optional>
#include <unordered_map>

namespace cedarpoint {

/// Holds each account to its requests in flight and its requests a minute (a token bucket).
/// Owns what each account uses at this daemon. Relies on its user to release what was admitted.
class account_limits {
public:
    /// Counts the request in and returns nothing, or says why it is over a limit. `share`: the
    /// fraction of the account's fleet-wide limits that this daemon may use, 0 to 1; at least one
    /// request in flight is always allowed.
    [[nodiscard]] std::optional<refusal> admit(instant now, const account_spec& account,
                                               double share);
    /// The request that was admitted has had its final answer.
    void release(const client_account_id& account);
    [[nodiscard]] int in_flight(const client_account_id& account) const;

private:
    struct usage {
        int in_flight = 0;
        double tokens = 0; ///< requests that may start now
        instant filled{};  ///< when `tokens` was brought up to date
        bool started = false;
    };

    static void refill(usage& it, instant now, double per_minute);

    std::unordered_map<client_account_id, usage> usage_;
};

} // namespace cedarpoint

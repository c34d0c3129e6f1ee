#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/request/refusal.h"

#include <optional>
#include <unordered_map>

namespace cedarpoint {

/// Enforces the limits of each account on requests in flight and on requests per minute (a token
/// bucket). Owns the usage of each account at this daemon. The user must call `release` once for
/// each admitted request.
class account_limits {
public:
    /// Admits and counts a request, or returns the refusal if the account is at a limit. `share` is
    /// the fraction of the account's fleet-wide limits that this daemon may use, 0 to 1. At least
    /// one request in flight is always allowed.
    [[nodiscard]] std::optional<refusal> admit(instant now, const account_spec& account,
                                               double share);
    /// Records that an admitted request has received its final answer.
    void release(const client_account_id& account);
    [[nodiscard]] int in_flight(const client_account_id& account) const;

private:
    struct usage {
        int in_flight = 0;
        double tokens = 0;     ///< requests that may start now
        instant refilled_at{}; ///< when `tokens` was last updated
        bool started = false;
    };

    static void refill(usage& it, instant now, double per_minute);

    std::unordered_map<client_account_id, usage> usage_;
};

} // namespace cedarpoint

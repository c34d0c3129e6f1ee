#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/request/refusal.h"

#include <optional>
#include <unordered_map>

namespace cedarpoint {

/// Holds each account to its requests in flight and a minute. This daemon's share only:
/// `share` is the fraction of the fleet-wide figure that this daemon may use.
class account_limits {
public:
    /// Counts the request in, or says why it can't be.
    std::optional<refusal> admit(instant now, const account_spec& account, double share);
    void release(const client_account_id& account);
    [[nodiscard]] int in_flight(const client_account_id& account) const;

private:
    struct usage {
        int in_flight = 0;
        double tokens = 0; ///< requests that may start at once
        instant filled{};
        bool started = false;
    };

    static void refill(usage& it, instant now, double per_minute);

    std::unordered_map<client_account_id, usage> usage_;
};

} // namespace cedarpoint

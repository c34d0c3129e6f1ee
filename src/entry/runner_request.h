#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "io/http_message.h"

#include <optional>
#include <string>

namespace cedarpoint {

/// What this daemon writes into the head of a request to a runner, whatever the caller wrote there.
struct runner_request {
    milliseconds time_left{0};
    runner_id expected_runner;
    std::optional<client_account_id> account;
    std::optional<int> priority; ///< 0 is served first
    std::string resume_after;    ///< id of the last event that the caller has; empty: none
};

/// The bytes of a caller's request as a runner gets them: method, target and body unchanged, the
/// caller's headers without those of its connection and without its key.
[[nodiscard]] std::string serialize(const http_request& from, const runner_request& own,
                                    const header_names& names);

} // namespace cedarpoint

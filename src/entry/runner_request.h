#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "io/http_message.h"
#include "io/runner_connection.h"

#include <memory>
#include <optional>
#include <string>

namespace cedarpoint {

/// Header values that this daemon sets in a request to a runner. They replace those of the caller.
struct runner_request {
    milliseconds time_left{0};
    runner_id expected_runner;
    std::optional<client_account_id> account;
    std::optional<int> priority; ///< 0 is served first
    std::string resume_after;    ///< id of the last event that the caller has; empty if none
};

/// Serializes a caller's request for a runner. Method, target and body are unchanged; the caller's
/// hop-by-hop headers and its key are removed.
[[nodiscard]] outgoing_request serialize(const std::shared_ptr<const http_request>& from,
                                         const runner_request& added, const header_names& names);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/request_fingerprint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cedarpoint {

/// The properties of a caller's request, read from its head and body.
struct request_facts {
    request_id id;
    std::string key_digest; ///< lower-case hex SHA-256 of the account's secret
    std::optional<model_id> model;
    std::string path; ///< for plain services
    bool streamed = false;
    bool safe_method = false; ///< GET or HEAD
    std::optional<session_id> session;
    std::string idempotency_key;
    bool not_repeatable = false; ///< the caller marked the request as not repeatable
    std::optional<priority_class> priority;
    std::optional<instant> deadline;
    std::uint64_t prefix = 0;                       ///< hash of the prompt prefix; 0: none
    std::optional<request_fingerprint> fingerprint; ///< empty: not tracked for runner crashes
};

} // namespace cedarpoint

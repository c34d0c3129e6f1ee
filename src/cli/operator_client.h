#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/core/time.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cedarpoint {

/// A daemon's HTTP response to an operator's call.
struct operator_response {
    int status = 0;      ///< HTTP status code
    nlohmann::json body; ///< a string if it is not JSON
};

/// Blocking HTTP client for a daemon's operator listener. Owns only the address. Needs a
/// QCoreApplication. Sends each call at most once. Authorizes calls with the key in the environment
/// variable CEDARPOINT_OPERATOR_KEY, if set.
class operator_client {
public:
    explicit operator_client(endpoint daemon) : daemon_{std::move(daemon)} {}

    /// Returns nothing if no complete, valid response arrived; `why` then gives the reason. A
    /// response with an error status is returned.
    std::optional<operator_response> get(const std::string& path, reason& why) const;
    std::optional<operator_response> post(const std::string& path, const std::string& body,
                                          reason& why) const;

private:
    std::optional<operator_response> call(const char* method, const std::string& path,
                                          const std::string& body, reason& why) const;

    endpoint daemon_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/reason.h"
#include "cedarpoint/core/time.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace cedarpoint {

/// A daemon's answer to an operator's call.
struct operator_answer {
    int status = 0;
    nlohmann::json body;
};

/// Calls a daemon's operators' listener and waits. Every call may be repeated without harm, so it
/// does not matter that the library may send one twice.
class operator_client {
public:
    explicit operator_client(endpoint daemon) : daemon_{std::move(daemon)} {}

    std::optional<operator_answer> get(const std::string& path, reason& why) const;
    std::optional<operator_answer> post(const std::string& path, const std::string& body,
                                        reason& why) const;

private:
    std::optional<operator_answer> call(const char* method, const std::string& path,
                                        const std::string& body, reason& why) const;

    endpoint daemon_;
};

} // namespace cedarpoint

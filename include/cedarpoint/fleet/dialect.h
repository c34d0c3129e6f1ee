#pragma once

#include "cedarpoint/core/reason.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/fleet_configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// What a call to a control daemon asks for.
enum class control_call {
    put_configuration,
    get_configuration,
    heartbeat,
    deregister,
    check_readiness,
    unknown
};

/// A call's meaning, and the runner that it concerns, if any.
struct control_target {
    control_call call = control_call::unknown;
    runner_id runner;
};

/// Header names of requests and answers.
struct header_names {
    std::string request_id;
    std::string deadline_ms;
    std::string priority;
    std::string model;
    std::string token_usage;
    std::string account;
    std::string expected_runner;
    std::string signature;
    std::string not_executed;
    std::string runner_at_fault;
    std::string resume_after;
};

/// Paths that runners serve.
struct runner_paths {
    std::string status;
    std::string order;
};

/// Translates between the product's types and the words of one platform. Decides nothing.
class dialect {
public:
    dialect() = default;
    dialect(const dialect&) = delete;
    dialect& operator=(const dialect&) = delete;
    virtual ~dialect() = default;

    [[nodiscard]] virtual const header_names& headers() const = 0;
    [[nodiscard]] virtual const runner_paths& paths() const = 0;
    [[nodiscard]] virtual control_target read_call(std::string_view method,
                                                   std::string_view path) const = 0;
    /// Empty with `why` unless the document is valid as a whole.
    [[nodiscard]] virtual std::optional<fleet_configuration>
    read_configuration(std::string_view document, reason& why) const = 0;
    [[nodiscard]] virtual std::optional<announcement>
    read_announcement(const runner_id& id, std::string_view body, reason& why) const = 0;
    [[nodiscard]] virtual std::string write_order(const group_order& order) const = 0;
};

/// The platform that this build speaks to.
const dialect& installed_dialect();

} // namespace cedarpoint

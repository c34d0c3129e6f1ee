#pragma once

#include "cedarpoint/core/reason.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/control_call.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/group_order.h"

#include <optional>
#include <string>
#include <string_view>

namespace cedarpoint {

/// The platform's header names, by what they hold.
struct header_names {
    std::string request_id;      ///< the caller's id of this try; passed on, and echoed by runners
    std::string deadline_ms;     ///< milliseconds that are left for the answer
    std::string priority;        ///< to runners: 0 (first) to 9
    std::string model;           ///< that a request for an engine asks for
    std::string account;         ///< to runners: the name of the caller's account
    std::string expected_runner; ///< to runners: any other runner refuses the request
    std::string signature;       ///< in a runner's answers: proves that a runner made it
    std::string not_executed;    ///< in a runner's refusal: it has not run the request and won't
    std::string resume_after;    ///< the id of the last event that the caller has
    std::string rate_limit;      ///< in a runner's answers: requests a second that it takes
    std::string leaving;         ///< in a runner's answers: it leaves and wants nothing new
};

/// Paths that runners serve.
struct runner_paths {
    std::string status; ///< what probes ask for
    std::string order;  ///< takes group orders
};

/// Translates between the product's types and the names, paths and JSON shapes of the users'
/// platform. Decides nothing. The implementation is in `platform/`, and no other folder knows a
/// name of the platform.
class platform_adapter {
public:
    platform_adapter() = default;
    platform_adapter(const platform_adapter&) = delete;
    platform_adapter& operator=(const platform_adapter&) = delete;
    virtual ~platform_adapter() = default;

    [[nodiscard]] virtual const header_names& headers() const = 0;
    [[nodiscard]] virtual const runner_paths& paths() const = 0;
    [[nodiscard]] virtual parsed_call read_call(std::string_view method,
                                                std::string_view path) const = 0;
    /// Empty with `why` unless the document is valid as a whole.
    [[nodiscard]] virtual std::optional<fleet_configuration>
    read_configuration(std::string_view document, reason& why) const = 0;
    /// Empty with `why` unless the heartbeat is valid.
    [[nodiscard]] virtual std::optional<announcement>
    read_announcement(const runner_id& id, std::string_view body, reason& why) const = 0;
    /// The life of the runner that says good-bye; 0 if the body does not tell.
    [[nodiscard]] virtual birth read_departing_life(std::string_view body) const = 0;
    [[nodiscard]] virtual std::string write_order(const group_order& order) const = 0;
};

/// The platform that this build runs on.
const platform_adapter& installed_platform();

} // namespace cedarpoint

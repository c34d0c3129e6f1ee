#pragma once

#include "cedarpoint/core/reason.h"
#include "cedarpoint/fleet/announcement.h"
#include "cedarpoint/fleet/control_call.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/group_order.h"
#include "cedarpoint/fleet/probe_report.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cedarpoint {

/// The names of the platform's HTTP headers.
struct header_names {
    std::string request_id;      ///< the caller's id of this try; passed on and echoed by runners
    std::string deadline_ms;     ///< remaining time for the answer, in milliseconds
    std::string priority;        ///< to runners: 0 (highest) to 9
    std::string model;           ///< model that a request for an engine asks for
    std::string prompt_parts;    ///< parts of the prompt, in order; read by the adapter
    std::string account;         ///< to runners: name of the caller's account
    std::string expected_runner; ///< to runners: a runner with another id refuses the request
    std::string signature;       ///< in answers of runners: proves that a runner made the answer
    std::string not_executed;    ///< in refusals of runners: the request has not run and will not
    std::string resume_after;    ///< id of the last event that the caller received
    std::string rate_limit;      ///< in answers of runners: requests per second that it accepts
    std::string leaving;         ///< in answers of runners: it leaves and wants no new requests
};

/// HTTP paths that runners serve.
struct runner_paths {
    std::string status; ///< requested by probes
    std::string order;  ///< accepts group orders
};

/// Translates between the product's types and the names, paths and JSON documents of the users'
/// platform. Makes no decisions. The implementation is in `platform/`; the product's other folders
/// contain no names of the platform.
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
    /// Returns the configuration; empty, with the reason in `why`, if any part of it is invalid.
    [[nodiscard]] virtual std::optional<fleet_configuration>
    read_configuration(std::string_view document, reason& why) const = 0;
    /// Returns a configuration that is in force. Numbers out of range, which earlier versions have
    /// accepted, are replaced by the nearest valid ones.
    [[nodiscard]] virtual std::optional<fleet_configuration>
    read_stored_configuration(std::string_view document, reason& why) const = 0;
    /// Returns the heartbeat; empty, with the reason in `why`, if it is invalid.
    [[nodiscard]] virtual std::optional<announcement>
    read_announcement(const runner_id& id, std::string_view body, reason& why) const = 0;
    /// Returns a runner's answer to a probe; empty, with the reason in `why`, if it is invalid.
    [[nodiscard]] virtual std::optional<probe_report> read_report(std::string_view body,
                                                                  reason& why) const = 0;
    /// Returns the start time of a runner process that deregisters; 0 if `body` has none or is
    /// invalid.
    [[nodiscard]] virtual incarnation read_departing_incarnation(std::string_view body) const = 0;
    /// Reads the value of the header `prompt_parts`. Returns the parts that other requests may
    /// share, each once, in order: all but the last one, which belongs to the request itself. Skips
    /// invalid entries.
    [[nodiscard]] virtual std::vector<prompt_part_id>
    read_shared_parts(std::string_view field) const = 0;
    [[nodiscard]] virtual std::string write_order(const group_order& order) const = 0;
};

/// Returns the adapter for the platform that this build runs on.
const platform_adapter& installed_platform();

} // namespace cedarpoint

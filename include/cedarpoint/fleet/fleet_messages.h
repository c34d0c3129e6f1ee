#pragma once

// Converts between the messages that a fleet's daemons exchange and the types that decisions are
// made on, so that the rules do not depend on the message types.

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/fleet/fleet_configuration.h"
#include "cedarpoint/fleet/fleet_state.h"
#include "cedarpoint/fleet/health_report.h"
#include "cedarpoint/fleet/view_content.h"
#include "control.pb.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cedarpoint {

/// Items of a view by key.
using view_items = std::map<std::string, wire::fleet_item>;

[[nodiscard]] view_items encode(const view_content& in);
/// Omits runners without a valid address; a leader sends none.
[[nodiscard]] view_content decode(const view_items& in);

/// Converts a health report except its `crashes` and `cuts`, which are converted separately
/// (`encode_crashes`, `decode_crashes`).
void encode(const health_report& in, wire::fleet_follow& out);
[[nodiscard]] health_report decode_report(const wire::fleet_follow& in);

/// A runner that the leader cannot reach. Entry daemons are asked to try to connect to it.
struct suspect {
    runner_id runner;
    endpoint address;
};
[[nodiscard]] std::vector<suspect> decode_suspects(const wire::fleet_update& in);

void encode_loads(const std::map<runner_id, int>& in_flight, wire::fleet_update& out);
/// Returns the requests in flight at each runner from other entry daemons; empty if the update is a
/// pushed change of the view, which does not contain these counts.
[[nodiscard]] std::optional<std::map<runner_id, int>> decode_loads(const wire::fleet_update& in);

/// Adds the rate limits and permits for one entry daemon to the leader's answer to its report.
void encode_grants(const std::map<runner_id, permit_grant>& in, wire::fleet_update& out);
[[nodiscard]] std::map<runner_id, permit_grant> decode_grants(const wire::fleet_update& in);

} // namespace cedarpoint

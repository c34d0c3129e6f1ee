#pragma once

#include "cedarpoint/core/endpoint.h"

#include <string>

namespace cedarpoint::testing_support {

/// Returns a configuration document with one route for each version up to this one, so that an
/// entry daemon's answers show which version it has in force. Its service has no runners.
[[nodiscard]] std::string make_versioned_document(int version);

/// Returns the entry daemon's status for a request on the route that `version` added: not_found if
/// an older configuration is in force, service_unavailable if this one is or none is known; 0
/// without an answer.
[[nodiscard]] int status_by_version(const endpoint& entry, int version);

/// Returns whether the entry daemon has this version, or a later one, in force.
[[nodiscard]] bool has_in_force(const endpoint& entry, int version);

} // namespace cedarpoint::testing_support

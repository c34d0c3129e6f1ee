#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/platform_adapter.h"
#include "io/http_message.h"
#include "io/runner_connection.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace cedarpoint {

// A request that one entry daemon sends through another one. It is the caller's request with its
// key, so that the other daemon admits it by its own configuration and trusts nothing but what the
// caller has sent. That configuration must not be older than the one by which the sending daemon
// has admitted the request. Header fields between entry daemons begin with "Cedarpoint-Forward";
// callers and runners never get them.

inline constexpr std::string_view forward_excluded_field = "Cedarpoint-Forward-Excluded";
inline constexpr std::string_view forward_sender_field = "Cedarpoint-Forward-Sender";
inline constexpr std::string_view forward_version_field = "Cedarpoint-Forward-Version";

/// Header fields that the sending daemon sets. They replace those of the caller.
struct forwarded_request {
    milliseconds time_left{0};
    std::string resume_after; ///< id of the last event that the caller has; empty if none
    /// Runners that must not get the request: those that it was sent to, and those that leave.
    std::set<runner_id> excluded;
    std::string sender;        ///< name of the sending daemon, for the log
    std::uint64_t version = 0; ///< of the configuration by which it has admitted the request
};

/// Serializes a caller's request for another entry daemon.
[[nodiscard]] outgoing_request serialize(const std::shared_ptr<const http_request>& from,
                                         const forwarded_request& added, const header_names& names);

/// Reads what the sending daemon has set in a received request.
[[nodiscard]] std::set<runner_id> read_excluded(const http_request& in);
[[nodiscard]] std::string_view read_sender(const http_request& in);
/// Returns the lowest version of the configuration that may admit the request; 0 if the sending
/// daemon is of a version that states none.
[[nodiscard]] std::uint64_t read_version(const http_request& in);

/// How the other daemon's answer came about.
enum class forward_result {
    from_runner, ///< a runner's answer
    sent,        ///< the daemon's own: the request was sent to a runner
    not_sent,    ///< the daemon's own: the request was sent to no runner
    unreachable, ///< the same, since the daemon reaches no runner
    outdated     ///< the same, since the daemon's configuration is older than the sender's
};

/// Adds to an answer for another entry daemon how it came about. `runner` is empty if the request
/// was not sent.
void add_forward_fields(http_head& head, forward_result result, const runner_id& runner);
[[nodiscard]] forward_result read_forward_result(const http_head& head);
/// Returns true for results which say that no runner has got the request.
[[nodiscard]] bool was_sent_to_none(forward_result result);
[[nodiscard]] runner_id read_forward_runner(const http_head& head);

/// Returns the head without the fields that `add_forward_fields` adds.
[[nodiscard]] http_head without_forward_fields(const http_head& head);

} // namespace cedarpoint

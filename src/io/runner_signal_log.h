#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/runner_signals/answer_signals.h"

#include <string>

namespace cedarpoint {

/// Logs what the headers of an answer say about its runner: rate limits and leaving if the value is
/// new or unreadable, and every pause.
/// `request`: the id of the answered request; empty if the request did not come from a caller.
void log_signals(const runner_id& runner, const answer_signals& in, const new_signals& news,
                 const std::string& request);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/runner_signals/answer_signals.h"

#include <string>

namespace cedarpoint {

/// Writes what an answer says of its runner, as far as it is new or can't be read; each pause.
/// `request`: the id of the request that was answered; empty if it was no caller's.
void log_signals(const runner_id& runner, const answer_signals& in, const signal_news& news,
                 const std::string& request);

} // namespace cedarpoint

#pragma once

#include "cedarpoint/fleet/retry_policy.h"

#include <string>

namespace cedarpoint {

/// Properties of a runner's complete answer.
struct answer_facts {
    int status = 0;
    bool reports_not_executed = false; ///< the runner states that it did not run the request
    bool is_authentic = false;      ///< has this request's id and a runner's signature; not encoded
    bool caller_has_events = false; ///< the caller has already received part of a stream
    bool asks_for_pause = false;    ///< the runner is healthy and asks for no requests for a while
};

/// How the end of an attempt counts for its target.
enum class target_effect { none, success, failure };

/// How an attempt ended, and why.
struct attempt_verdict {
    attempt_outcome outcome = attempt_outcome::may_have_run;
    target_effect effect = target_effect::none;
    std::string why;
};

/// Classifies a complete answer that is not a stream of events. A 421 counts as not run: a runner
/// other than the expected one has the address.
[[nodiscard]] attempt_verdict judge_answer(const answer_facts& in);

/// Classifies a stream whose HTTP answer is complete. `ended_within_event`: it ended after part of
/// an event.
[[nodiscard]] attempt_verdict judge_stream_end(bool ended_within_event);

} // namespace cedarpoint

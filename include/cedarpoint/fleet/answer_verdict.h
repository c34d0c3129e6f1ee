#pragma once

#include "cedarpoint/fleet/retry_policy.h"

#include <string>

namespace cedarpoint {

/// What a runner's whole answer shows.
struct answer_facts {
    int status = 0;
    bool disclaims = false;    ///< the runner says that it did not run the request
    bool is_authentic = false; ///< it bears this request's id and a runner's signature, unencoded
    bool caller_has_events = false; ///< the caller has got part of a stream already
    bool asks_for_pause = false;    ///< the runner is well, and wants nothing for a while
};

/// What an attempt's end says about its target.
enum class target_effect { none, success, failure };

/// How an attempt ended, and why.
struct attempt_verdict {
    attempt_outcome outcome = attempt_outcome::may_have_run;
    target_effect effect = target_effect::none;
    std::string why;
};

/// Judges a whole answer that is not a stream of events. A 421 counts as a disclaimer: another
/// runner than the expected one has the address.
[[nodiscard]] attempt_verdict judge_answer(const answer_facts& in);

/// Judges a stream that its runner has ended in order; `cut_within_event`: after part of an event.
[[nodiscard]] attempt_verdict judge_stream_end(bool cut_within_event);

} // namespace cedarpoint

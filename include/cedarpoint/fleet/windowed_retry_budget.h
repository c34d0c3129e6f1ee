#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/retry_budget_options.h"

#include <cstddef>
#include <deque>
#include <utility>

namespace cedarpoint {

/// One entry daemon's share of the retry budget of the whole fleet (rule BUDGET): in any window the
/// fleet may retry `ratio` of its requests plus `slack`. This needs no message per request: each
/// daemon uses the ratio of its own traffic and an equal share of the slack. In the first window
/// after its start it has no share of the slack, because a restarted daemon does not know how much
/// of the slack it used before.
///
/// Daemons that are configured with a list of peers are not bound by this rule and use
/// `token_retry_budget`.
class windowed_retry_budget {
public:
    /// `started`: when the daemon's process started.
    windowed_retry_budget(retry_budget_options options, instant started)
        : options_{options}, started_{started}
    {
    }

    void on_first_attempt(instant now);
    /// Returns true if another retry may be sent now, and counts it. `daemons`: number of entry
    /// daemons that share the budget; 0 while it is not known, which leaves no share of the slack.
    [[nodiscard]] bool take(instant now, std::size_t daemons);

private:
    using bucket = std::pair<instant, int>; ///< start time and number of requests
    void drop_expired(instant now);
    static void count(std::deque<bucket>& into, instant now);
    static int sum(const std::deque<bucket>& in);

    retry_budget_options options_;
    instant started_;
    std::deque<bucket> first_attempts_;
    std::deque<bucket> retries_;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/fleet/retry_budget_options.h"

#include <cstddef>
#include <deque>
#include <utility>

namespace cedarpoint {

/// One entry daemon's part of a retry budget that holds for the whole fleet (rule BUDGET): in any
/// window the fleet may retry `ratio` of its requests and `slack` more. Kept without a message per
/// request: each daemon uses the ratio of its own traffic and an even part of the slack. In the
/// first window of its life it has no part: a daemon that has just restarted does not know what it
/// had used of the slack before.
///
/// The daemons with a list of peers have no such bound and use `token_retry_budget`.
class windowed_retry_budget {
public:
    /// `started`: when the daemon's life began.
    windowed_retry_budget(retry_budget_options options, instant started)
        : options_{options}, started_{started}
    {
    }

    void on_first_attempt(instant now);
    /// True if one more retry may be sent now; counts it. `daemons`: entry daemons that share the
    /// budget; 0 while that is not known, and then there is no part of the slack.
    [[nodiscard]] bool take(instant now, std::size_t daemons);

private:
    using bucket = std::pair<instant, int>; ///< when it began, and how many
    void forget_old(instant now);
    static void count(std::deque<bucket>& into, instant now);
    static int sum(const std::deque<bucket>& in);

    retry_budget_options options_;
    instant started_;
    std::deque<bucket> first_attempts_;
    std::deque<bucket> retries_;
};

} // namespace cedarpoint

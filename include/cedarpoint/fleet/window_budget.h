#pragma once

#include "cedarpoint/core/time.h"

#include <deque>
#include <utility>

namespace cedarpoint {

/// What a fleet may send beyond the first attempts of requests, in any window.
struct budget_options {
    double ratio = 0.1; ///< of the requests in the window
    milliseconds window{10'000};
    double slack = 10;   ///< for the whole fleet, beside the ratio
    double safety = 0.6; ///< of both that is used: daemons' shares are uneven
};

/// One daemon's share of a fleet's repeats: its own traffic's ratio and an even part of the slack.
class window_budget {
public:
    explicit window_budget(budget_options options) : options_{options} {}

    void on_first_attempt(instant now);
    /// True if one more repeat may be sent now; counts it.
    bool take(instant now, std::size_t daemons);

private:
    using bucket = std::pair<instant, int>;
    void forget(instant now);
    static void count(std::deque<bucket>& into, instant now);
    static int sum(const std::deque<bucket>& in);

    budget_options options_;
    std::deque<bucket> first_;
    std::deque<bucket> repeats_;
};

} // namespace cedarpoint

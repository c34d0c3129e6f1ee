#pragma once

#include "cedarpoint/rate_limits/rate_limit.h"
#include "cedarpoint/runner_signals/pause_reading.h"

#include <string_view>
#include <vector>

namespace cedarpoint {

// The one place that turns the head of a runner's answer into what it says of the runner itself,
// whatever becomes of the request. What concerns the connection alone (`Connection`, `Keep-Alive`)
// is read where connections are kept.

/// The values of the headers in which a runner speaks of itself.
struct signal_headers {
    int status = 0;
    std::vector<std::string_view> rate_limit;
    std::vector<std::string_view> retry_after;
    std::vector<std::string_view> leaving;
};

/// What a runner says of whether it leaves.
enum class leave_reading {
    absent,
    leaving,
    unreadable ///< the header is there with a value that has no meaning; it changes nothing
};

/// What the head of an answer says of its runner.
struct answer_signals {
    /// Another runner than the expected one answered, so that the rest says nothing of that one.
    bool is_of_other_runner = false;
    rate_limit_reading rate_limit;
    pause_reading pause;
    leave_reading leave = leave_reading::absent;

    /// Something is said that can't be read.
    [[nodiscard]] bool has_unreadable() const;
    [[nodiscard]] bool asks_for_pause() const { return pause.kind == pause_reading::kind_t::asked; }
};

/// What of an answer's signals was not known before.
struct signal_news {
    bool rate_limit = false;
    bool leave = false;
};

[[nodiscard]] answer_signals read_answer_signals(const signal_headers& in);

} // namespace cedarpoint

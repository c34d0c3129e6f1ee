#pragma once

#include "cedarpoint/rate_limits/rate_limit.h"
#include "cedarpoint/runner_signals/pause_reading.h"

#include <string_view>
#include <vector>

namespace cedarpoint {

// Parses the signals in the head of a runner's answer: what it says about the state of the runner,
// independent of the result of the request. Headers that concern only the connection (`Connection`,
// `Keep-Alive`) are parsed with the connection (`io/runner_connection.h`).

/// The status of an answer, and the values of the headers that carry signals.
struct signal_headers {
    int status = 0;
    std::vector<std::string_view> rate_limit;
    std::vector<std::string_view> retry_after;
    std::vector<std::string_view> leaving;
};

/// The header by which a runner signals that it is leaving.
enum class leave_reading {
    absent,
    leaving,
    unreadable ///< the header has an undefined value, which is ignored
};

/// The signals in the head of an answer.
struct answer_signals {
    /// True if a runner other than the expected one answered. Then the other members are not set,
    /// because they would not apply to the expected runner.
    bool is_from_other_runner = false;
    rate_limit_reading rate_limit;
    pause_reading pause;
    leave_reading leave = leave_reading::absent;

    /// Returns true if one of the signals has an invalid value.
    [[nodiscard]] bool has_unreadable() const;
    [[nodiscard]] bool asks_for_pause() const { return pause.kind == pause_reading::kind_t::asked; }
};

/// Which signals of an answer were not known before.
struct new_signals {
    bool rate_limit = false;
    bool leave = false;
};

[[nodiscard]] answer_signals read_answer_signals(const signal_headers& in);

} // namespace cedarpoint

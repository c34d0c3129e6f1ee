#pragma once

#include "cedarpoint/request/actions.h"

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

namespace cedarpoint {

/// A decision and the wall time at which it was logged.
struct timed_decision {
    std::uint64_t wall_ms = 0;
    decision what;
};

/// Writes each decision as a log line and keeps the decisions of the latest requests for `explain`.
class decision_log {
public:
    /// Number of requests whose decisions are kept.
    static constexpr std::size_t kept_requests = 20'000;

    void add(const decision& it);
    [[nodiscard]] std::vector<timed_decision> of(const request_id& request) const;

private:
    std::unordered_map<request_id, std::vector<timed_decision>> by_request_;
    std::deque<request_id> order_;
};

} // namespace cedarpoint

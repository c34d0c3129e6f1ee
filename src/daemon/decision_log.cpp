#include "daemon/decision_log.h"

#include "io/clock.h"
#include "io/log_line.h"

namespace cedarpoint {

void decision_log::add(const decision& it)
{
    log_line("decision")
        .with("step", it.step)
        .with("request", it.request.str())
        .with("account", it.account.str())
        .with("chosen", it.chosen)
        .with("candidates", it.candidates)
        .with("reason", it.reason)
        .write();
    auto [found, added] = by_request_.try_emplace(it.request);
    found->second.push_back({wall_ms(), it});
    if (!added) {
        return;
    }
    order_.push_back(it.request);
    if (order_.size() > kept_requests) {
        by_request_.erase(order_.front());
        order_.pop_front();
    }
}

std::vector<timed_decision> decision_log::of(const request_id& request) const
{
    const auto it = by_request_.find(request);
    return it == by_request_.end() ? std::vector<timed_decision>{} : it->second;
}

} // namespace cedarpoint

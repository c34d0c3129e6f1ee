#include "cedarpoint/quarantine/quarantine_controller.h"

#include "cedarpoint/quarantine/crash_cause.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Suspected requests that are kept for the whole fleet.
constexpr std::size_t max_requests = 256;

/// An order is repeated after this time, because its log entry may have been lost.
constexpr duration order_interval = seconds{1};

} // namespace

quarantine_controller::quarantine_controller() : ledger_{max_requests} {}

void quarantine_controller::clear()
{
    ledger_.clear();
    incarnations_.clear();
    cuts_.clear();
    ordered_at_.clear();
    causes_.clear();
    needs_update_ = false;
}

void quarantine_controller::on_report(const crash_histories& in)
{
    for (const auto& [request, reported] : in) {
        auto history = reported;
        for (auto& crash : history.crashes) {
            crash.its_incarnation =
                incarnations_.incarnation_at(crash.runner, crash.ended_at).value_or(incarnation{});
        }
        if (history.answered_at) {
            cuts_.on_answer(*history.answered_at, request);
        }
        ledger_.merge(request, history);
        needs_update_ = true;
    }
}

crash_histories quarantine_controller::on_cuts(instant now, const crash_histories& in)
{
    cuts_.add(now, in);
    return take_proved(now);
}

crash_histories quarantine_controller::on_heartbeat(instant now, const runner_id& runner,
                                                    incarnation its_incarnation)
{
    return incarnations_.on_heartbeat(now, runner, its_incarnation) ? take_proved(now)
                                                                    : crash_histories{};
}

crash_histories quarantine_controller::on_replaced(instant now, const runner_id& runner)
{
    incarnations_.on_replaced(now, runner);
    return take_proved(now);
}

crash_histories quarantine_controller::take_proved(instant now)
{
    auto out = cuts_.take_proved(now, incarnations_);
    for (const auto& [request, history] : out) {
        ledger_.merge(request, history);
        needs_update_ = true;
    }
    return out;
}

std::vector<quarantine_order>
quarantine_controller::decide(instant now, const std::set<request_fingerprint>& quarantined)
{
    if (std::exchange(needs_update_, false) || decided_for_ != quarantined) {
        causes_ = find_crash_causes(ledger_, quarantined);
        decided_for_ = quarantined;
    }
    std::erase_if(ordered_at_, [&](const auto& each) { return !causes_.contains(each.first); });
    std::vector<quarantine_order> out;
    for (const auto& cause : causes_) {
        const auto [ordered, is_new] = ordered_at_.try_emplace(cause, now);
        if (is_new || now - ordered->second >= order_interval) {
            ordered->second = now;
            out.push_back({cause, ledger_.find(cause)->crashes});
        }
    }
    return out;
}

void quarantine_controller::on_lifted(instant now, const request_fingerprint& request)
{
    ledger_.on_answer(now, request);
    needs_update_ = true;
}

crash_counts quarantine_controller::counts(const std::set<request_fingerprint>& quarantined,
                                           const std::set<request_fingerprint>& lifted) const
{
    crash_counts out;
    for (const auto& request : lifted) {
        out[request] = 0;
    }
    for (const auto& [request, history] : ledger_.histories()) {
        // Below the quarantine threshold: the quarantine takes effect only once the replicated log
        // holds it.
        if (const int crashes = ledger_.count(request, quarantined); crashes > 0) {
            out[request] = std::min(crashes, crashes_to_quarantine - 1);
        }
    }
    for (const auto& request : quarantined) {
        out[request] = crashes_to_quarantine;
    }
    return out;
}

} // namespace cedarpoint

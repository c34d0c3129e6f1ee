#include "cedarpoint/quarantine/crash_detector.h"

#include "cedarpoint/quarantine/crash_cause.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Suspected requests that a daemon keeps: several times the number in flight at a few runners.
constexpr std::size_t max_requests = 256;

/// Cuts kept for one runner while its check is under way; more than the requests that a runner
/// processes concurrently.
constexpr std::size_t max_unchecked_cuts = 128;

/// If the leader has not answered for this long, a daemon decides by its own observations.
constexpr duration leader_timeout = seconds{1};

/// Cuts kept that are not proved to be crashes: enough for a reset of all of the daemon's
/// connections.
constexpr std::size_t max_unproved_cuts = 256;

/// Cuts older than this are dropped: a later incarnation of the runner no longer proves that such a
/// cut was a crash.
constexpr duration max_unproved_age = seconds{10};

} // namespace

crash_detector::crash_detector() : own_ledger_{max_requests} {}

bool crash_detector::on_cut(const request_fingerprint& request, crash_observation in)
{
    auto& waiting = unchecked_[in.runner];
    const bool is_first = waiting.empty();
    in.serial = static_cast<std::uint64_t>(in.ended_at.time_since_epoch().count());
    if (waiting.size() < max_unchecked_cuts) {
        waiting.push_back({request, std::move(in)});
    }
    return is_first;
}

crash_histories crash_detector::on_address_checked(instant now, const runner_id& runner,
                                                   bool refused)
{
    crash_histories out;
    const auto found = unchecked_.extract(runner);
    if (found.empty()) {
        return out;
    }
    const auto& latest = *std::max_element(found.mapped().begin(), found.mapped().end(),
                                           [](const auto& one, const auto& other) {
                                               return one.crash.ended_at < other.crash.ended_at;
                                           });
    const auto last_end = latest.crash;
    for (auto& each : found.mapped()) {
        if (!refused || !is_same_end(each.crash, last_end)) {
            add_unproved_cut(now, std::move(each));
            continue;
        }
        own_ledger_.add(each.request, each.crash);
        note_change(now, each.request);
        out[each.request].crashes.push_back(std::move(each.crash));
    }
    return out;
}

void crash_detector::add_unproved_cut(instant now, unchecked_cut in)
{
    cuts_.push_back({in.request, std::move(in.crash), now});
    if (cuts_.size() > max_unproved_cuts) {
        cuts_.pop_front();
    }
}

bool crash_detector::drop_cuts(const request_fingerprint& request)
{
    bool was_reported = false;
    std::erase_if(cuts_, [&](const auto& each) {
        was_reported = was_reported || (each.request == request && each.is_reported);
        return each.request == request;
    });
    return was_reported;
}

crash_histories crash_detector::unconfirmed_cuts(instant now)
{
    std::erase_if(cuts_,
                  [&](const auto& each) { return now - each.crash.ended_at > max_unproved_age; });
    crash_histories out;
    for (auto& each : cuts_) {
        if (!each.is_confirmed) {
            each.is_reported = true;
            out[each.request].crashes.push_back(each.crash);
        }
    }
    return out;
}

void crash_detector::merge(instant now, const crash_histories& in)
{
    for (const auto& [request, history] : in) {
        own_ledger_.merge(request, history);
        note_change(now, request);
    }
}

void crash_detector::on_answer(instant now, const request_fingerprint& request)
{
    const bool was_reported = drop_cuts(request);
    if (!was_reported && own_ledger_.find(request) == nullptr &&
        !leader_counts_.contains(request)) {
        return;
    }
    own_ledger_.on_answer(now, request);
    note_change(now, request);
}

void crash_detector::note_change(instant now, const request_fingerprint& request)
{
    changed_at_[request] = now;
    std::erase_if(changed_at_,
                  [&](const auto& each) { return own_ledger_.find(each.first) == nullptr; });
    own_causes_ = find_crash_causes(own_ledger_, quarantined_);
}

void crash_detector::set_leader_counts(instant now, crash_counts counts)
{
    for (const auto& [request, crashes] : counts) {
        const auto before = leader_counts_.find(request);
        const bool was_not_cleared = before == leader_counts_.end() || before->second != 0;
        if (crashes == 0 && was_not_cleared && own_ledger_.find(request) != nullptr) {
            own_ledger_.on_answer(now, request);
        }
    }
    leader_counts_ = std::move(counts);
    quarantined_.clear();
    for (const auto& [request, crashes] : leader_counts_) {
        if (crashes >= crashes_to_quarantine) {
            quarantined_.insert(request);
        }
    }
    own_causes_ = find_crash_causes(own_ledger_, quarantined_);
}

int crash_detector::count(const request_fingerprint& request) const
{
    const auto leader_count = leader_counts_.find(request);
    return std::max(leader_count == leader_counts_.end() ? 0 : leader_count->second,
                    own_ledger_.count(request, quarantined_));
}

bool crash_detector::is_quarantined(instant now, const request_fingerprint& request) const
{
    const bool is_alone = !answered_report_at_ || now - *answered_report_at_ > leader_timeout;
    return quarantined_.contains(request) || (is_alone && own_causes_.contains(request));
}

bool crash_detector::may_retry(const request_fingerprint& request) const
{
    const int crashes = count(request);
    if (crashes == 0) {
        return true; // cuts alone don't prove a crash
    }
    const auto unchecked =
        std::count_if(unchecked_.begin(), unchecked_.end(), [&](const auto& at_runner) {
            return std::any_of(at_runner.second.begin(), at_runner.second.end(),
                               [&](const auto& each) { return each.request == request; });
        });
    return crashes + unchecked < crashes_to_stop_retries;
}

crash_histories crash_detector::unconfirmed() const
{
    crash_histories out;
    for (const auto& [request, at] : changed_at_) {
        if (const auto* known = own_ledger_.find(request); known != nullptr) {
            out[request] = *known;
        }
    }
    return out;
}

void crash_detector::on_confirmed(instant now, std::uint64_t term, instant asked_at)
{
    // The time of the report, because the answer may have been read late, after the machine was
    // suspended.
    answered_report_at_ = asked_at;
    const bool is_new_term = std::exchange(term_, term) != term;
    for (auto& each : cuts_) {
        each.is_confirmed =
            !is_new_term && (each.is_confirmed || (each.is_reported && each.checked_at < asked_at));
    }
    if (is_new_term) {
        for (const auto& [request, history] : own_ledger_.histories()) {
            changed_at_[request] = now; // a new leader has none of the observations
        }
        return;
    }
    std::erase_if(changed_at_, [&](const auto& each) { return each.second < asked_at; });
}

} // namespace cedarpoint

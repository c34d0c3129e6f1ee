#include "cedarpoint/quarantine/quarantine_controller.h"

#include "cedarpoint/quarantine/find_crash_causes.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Suspects that are kept for the whole fleet: several times those in flight at ten runners.
constexpr std::size_t max_causes = 1024;

/// From this many crashes on a part of a prompt is suspected. Most of those in flight during a
/// crash are in flight during no other.
constexpr int crashes_to_suspect_part = 2;

/// Time between the suspicion of a part and its quarantine. Longer than entry daemons take to hear
/// of the suspicion and to report an answer to a sound request with this part.
constexpr duration answer_report_time = milliseconds{600};

/// An order is repeated after this time, because its log entry may have been lost.
constexpr duration order_interval = seconds{1};

} // namespace

quarantine_controller::quarantine_controller() : ledger_{max_causes} {}

void quarantine_controller::clear()
{
    ledger_.clear();
    incarnations_.clear();
    cuts_.clear();
    ordered_at_.clear();
    causes_.clear();
    part_suspected_at_.clear();
    needs_update_ = true;
}

void quarantine_controller::on_report(const crash_histories& in)
{
    for (const auto& [cause, reported] : in) {
        auto history = reported;
        for (auto& crash : history.crashes) {
            crash.its_incarnation =
                incarnations_.incarnation_at(crash.runner, crash.ended_at).value_or(incarnation{});
        }
        if (history.answered_at) {
            cuts_.on_answer(*history.answered_at, cause);
        }
        ledger_.merge(cause, history);
        needs_update_ = true;
    }
}

crash_histories quarantine_controller::on_cuts(instant now, const crash_histories& in)
{
    if (in.empty()) {
        return {};
    }
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
    for (const auto& [cause, history] : out) {
        ledger_.merge(cause, history);
        needs_update_ = true;
    }
    return out;
}

std::vector<quarantine_order>
quarantine_controller::decide(instant now, const std::set<crash_cause>& quarantined)
{
    update(quarantined);
    update_suspected_parts(now);
    std::erase_if(ordered_at_, [&](const auto& each) { return !causes_.contains(each.first); });
    std::vector<quarantine_order> out;
    for (const auto& cause : causes_) {
        if (!has_waited_for_answers(now, cause)) {
            continue;
        }
        const auto [ordered, is_new] = ordered_at_.try_emplace(cause, now);
        if (is_new || now - ordered->second >= order_interval) {
            ordered->second = now;
            out.push_back({cause, ledger_.find(cause)->crashes});
        }
    }
    return out;
}

void quarantine_controller::update(const std::set<crash_cause>& quarantined)
{
    if (!needs_update_ && updated_for_ == quarantined) {
        return;
    }
    const auto known = ledger_.recorded(quarantined);
    suspects_ = count_suspects(known);
    causes_ = find_crash_causes(ledger_, known);
    updated_for_ = quarantined;
    needs_update_ = false;
}

void quarantine_controller::update_suspected_parts(instant now)
{
    std::erase_if(part_suspected_at_,
                  [&](const auto& each) { return !suspects_.contains(each.first); });
    for (const auto& [cause, crashes] : suspects_) {
        if (is_prompt_part(cause)) {
            part_suspected_at_.try_emplace(cause, now);
        }
    }
}

bool quarantine_controller::has_waited_for_answers(instant now, const crash_cause& cause) const
{
    if (!is_prompt_part(cause)) {
        return true;
    }
    const auto found = part_suspected_at_.find(cause);
    return found != part_suspected_at_.end() && now - found->second >= answer_report_time;
}

void quarantine_controller::on_lifted(instant now, const crash_cause& cause)
{
    ledger_.on_answer(now, cause);
    needs_update_ = true;
}

crash_counts quarantine_controller::count_suspects(const std::set<crash_cause>& known) const
{
    crash_counts out;
    for (const auto& [cause, history] : ledger_.histories()) {
        const bool is_part = is_prompt_part(cause);
        if (is_part && ledger_.count_all(cause, known) < crashes_to_suspect_part) {
            continue;
        }
        const int crashes = ledger_.count(cause, known);
        if (crashes == 0) {
            continue;
        }
        const bool is_blamed = crashes >= crashes_to_stop_retries &&
                               !(is_part ? has_rival(ledger_, cause, known)
                                         : has_stronger_rival(ledger_, cause, known));
        // Below the quarantine threshold: the quarantine takes effect only once the replicated log
        // holds it.
        out[cause] = is_blamed ? crashes_to_stop_retries : 1;
    }
    return out;
}

crash_counts quarantine_controller::counts(const std::set<crash_cause>& quarantined,
                                           const std::set<crash_cause>& lifted)
{
    update(quarantined);
    auto out = suspects_;
    for (const auto& cause : lifted) {
        out.try_emplace(cause, 0);
    }
    for (const auto& cause : quarantined) {
        out[cause] = crashes_to_quarantine;
    }
    return out;
}

} // namespace cedarpoint

#include "cedarpoint/quarantine/crash_detector.h"

#include "cedarpoint/quarantine/find_crash_causes.h"

#include <algorithm>
#include <utility>

namespace cedarpoint {
namespace {

/// Suspects that a daemon keeps: several times those in flight at a few runners.
constexpr std::size_t max_causes = 256;

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

/// Adds an observation to the history of each possible cause.
void add_observation(const possible_causes& causes, crash_observation seen, crash_histories& out)
{
    for (std::uint32_t position = 0; position < causes.size(); ++position) {
        seen.position = position;
        out[causes[position]].crashes.push_back(seen);
    }
}

} // namespace

crash_detector::crash_detector() : own_ledger_{max_causes} {}

bool crash_detector::on_cut(const possible_causes& causes, crash_observation in)
{
    auto& waiting = unchecked_[in.runner];
    const bool is_first = waiting.empty();
    in.serial = static_cast<std::uint64_t>(in.ended_at.time_since_epoch().count());
    if (waiting.size() < max_unchecked_cuts) {
        waiting.push_back({causes, std::move(in)});
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
        add_observation(each.causes, each.crash, out);
    }
    for (const auto& [cause, history] : out) {
        for (const auto& crash : history.crashes) {
            own_ledger_.add(cause, crash);
        }
        note_change(now, cause);
    }
    return out;
}

void crash_detector::add_unproved_cut(instant now, unchecked_cut in)
{
    cuts_.push_back({std::move(in.causes), std::move(in.crash), now});
    if (cuts_.size() > max_unproved_cuts) {
        cuts_.pop_front();
    }
}

bool crash_detector::drop_cuts(const crash_cause& request)
{
    bool was_reported = false;
    std::erase_if(cuts_, [&](const auto& each) {
        const bool is_its = each.causes.front() == request;
        was_reported = was_reported || (is_its && each.is_reported);
        return is_its;
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
            add_observation(each.causes, each.crash, out);
        }
    }
    return out;
}

void crash_detector::merge(instant now, const crash_histories& in)
{
    for (const auto& [cause, history] : in) {
        own_ledger_.merge(cause, history);
        note_change(now, cause);
    }
}

void crash_detector::on_answer(instant now, const possible_causes& causes, answer_kind kind)
{
    note_answer(now, causes.front(), drop_cuts(causes.front()));
    if (kind != answer_kind::success) {
        return;
    }
    for (auto part = causes.begin() + 1; part != causes.end(); ++part) {
        note_answer(now, *part, false);
    }
}

void crash_detector::note_answer(instant now, const crash_cause& cause, bool was_reported)
{
    const auto* own = own_ledger_.find(cause);
    const bool has_crashes = own != nullptr && !own->crashes.empty();
    if (was_reported || has_crashes || leader_counts_.contains(cause)) {
        own_ledger_.on_answer(now, cause);
        note_change(now, cause);
    }
}

void crash_detector::note_change(instant now, const crash_cause& cause)
{
    changed_at_[cause] = now;
    if (changed_at_.size() > 2 * max_causes) {
        std::erase_if(changed_at_,
                      [&](const auto& each) { return own_ledger_.find(each.first) == nullptr; });
    }
    own_causes_outdated_ = true;
}

const std::set<crash_cause>& crash_detector::own_causes()
{
    if (std::exchange(own_causes_outdated_, false)) {
        own_causes_ = find_crash_causes(own_ledger_, own_ledger_.recorded(quarantined_));
    }
    return own_causes_;
}

void crash_detector::set_leader_counts(instant now, crash_counts counts)
{
    for (const auto& [cause, crashes] : counts) {
        const auto before = leader_counts_.find(cause);
        const bool was_not_cleared = before == leader_counts_.end() || before->second != 0;
        if (crashes == 0 && was_not_cleared && own_ledger_.find(cause) != nullptr) {
            own_ledger_.on_answer(now, cause);
        }
    }
    leader_counts_ = std::move(counts);
    quarantined_.clear();
    for (const auto& [cause, crashes] : leader_counts_) {
        if (crashes >= crashes_to_quarantine) {
            quarantined_.insert(cause);
        }
    }
    own_causes_outdated_ = true;
}

int crash_detector::count(const crash_cause& request) const
{
    const auto leader_count = leader_counts_.find(request);
    return std::max(leader_count == leader_counts_.end() ? 0 : leader_count->second,
                    own_ledger_.count(request, quarantined_));
}

int crash_detector::count_unchecked(const crash_cause& request) const
{
    return static_cast<int>(
        std::count_if(unchecked_.begin(), unchecked_.end(), [&](const auto& at_runner) {
            return std::any_of(at_runner.second.begin(), at_runner.second.end(),
                               [&](const auto& each) { return each.causes.front() == request; });
        }));
}

std::optional<crash_cause> crash_detector::find_quarantined(instant now,
                                                            const possible_causes& causes)
{
    const bool is_alone = !answered_report_at_ || now - *answered_report_at_ > leader_timeout;
    const auto found = std::find_if(causes.begin(), causes.end(), [&](const auto& cause) {
        return quarantined_.contains(cause) || (is_alone && own_causes().contains(cause));
    });
    return found == causes.end() ? std::nullopt : std::optional{*found};
}

bool crash_detector::may_retry(const possible_causes& causes) const
{
    return std::none_of(causes.begin(), causes.end(),
                        [&](const auto& cause) { return is_blamed(cause); });
}

bool crash_detector::is_blamed(const crash_cause& cause) const
{
    if (is_prompt_part(cause)) {
        // One daemon sees too few answers to tell a part that crashes runners from a popular one.
        const auto found = leader_counts_.find(cause);
        return found != leader_counts_.end() && found->second >= crashes_to_stop_retries;
    }
    const int crashes = count(cause);
    if (crashes == 0 || // cuts alone don't prove a crash
        crashes + count_unchecked(cause) < crashes_to_stop_retries) {
        return false;
    }
    return !has_stronger_rival(own_ledger_, cause, own_ledger_.recorded(quarantined_));
}

crash_histories crash_detector::unconfirmed() const
{
    crash_histories out;
    for (const auto& [cause, at] : changed_at_) {
        if (const auto* known = own_ledger_.find(cause); known != nullptr) {
            out[cause] = *known;
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
        for (const auto& [cause, history] : own_ledger_.histories()) {
            changed_at_[cause] = now; // a new leader has none of the observations
        }
        return;
    }
    std::erase_if(changed_at_, [&](const auto& each) { return each.second < asked_at; });
}

} // namespace cedarpoint

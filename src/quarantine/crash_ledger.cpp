#include "cedarpoint/quarantine/crash_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace cedarpoint {
namespace {

/// Largest difference between the times that two daemons give for one event, after conversion to
/// one clock (`core/peer_clock.h`). Also covers two events that one daemon reads in the same
/// iteration of its event loop.
constexpr duration clock_error = milliseconds{20};

/// Used if the time of the connection is unknown: a request that is sent within this time after a
/// crash may have used a kept-alive connection to the crashed process.
constexpr duration stale_send_time = milliseconds{500};

/// Crashes kept for each request. Crashes that follow one another are counted for the quarantine;
/// the others are kept to distinguish the request from those in flight beside it.
constexpr std::size_t max_crashes = 32;

instant latest_change(const crash_history& in)
{
    instant out = in.answered_at.value_or(instant{});
    for (const auto& each : in.crashes) {
        out = std::max(out, each.ended_at);
    }
    return out;
}

using crash_pointers = std::vector<const crash_observation*>;

/// Returns the longest sequence in which the request was sent to each runner after the previous
/// runner had ended. Ends that are closer than `clock_error` count as one: a request that is cut at
/// one runner may be sent on a connection to another one that has ended at the same time.
crash_pointers find_sequence(crash_pointers crashes)
{
    std::sort(crashes.begin(), crashes.end(),
              [](const auto* one, const auto* other) { return one->ended_at < other->ended_at; });
    crash_pointers out;
    for (const auto* each : crashes) {
        if (out.empty() || (each->sent_at >= out.back()->ended_at &&
                            each->ended_at > out.back()->ended_at + clock_error)) {
            out.push_back(each);
        }
    }
    return out;
}

/// Removes one crash if there are more than `max_crashes`, preferably one that is not part of the
/// longest sequence.
void drop_excess(std::vector<crash_observation>& crashes)
{
    if (crashes.size() <= max_crashes) {
        return;
    }
    crash_pointers all;
    for (const auto& each : crashes) {
        all.push_back(&each);
    }
    const auto sequence = find_sequence(all);
    const auto removable = std::find_if(crashes.begin(), crashes.end(), [&](const auto& each) {
        return std::find(sequence.begin(), sequence.end(), &each) == sequence.end();
    });
    crashes.erase(removable == crashes.end() ? std::prev(crashes.end()) : removable);
}

/// A crash older than this, compared with the latest one, no longer keeps its suspect from being
/// evicted first.
constexpr duration max_crash_age = seconds{60};

/// How much a history says, for eviction. Many requests lose a connection and are answered later,
/// and most of those in flight during a crash are in flight during no other.
int weight_of(const crash_history& in, instant latest)
{
    if (in.crashes.empty() || latest - latest_change(in) > max_crash_age) {
        return 0;
    }
    return in.crashes.size() == 1 ? 1 : 2;
}

/// Returns true if the runner accepted the connection of `later` after it had ended in `earlier`.
bool is_of_later_incarnation(const crash_observation& later, const crash_observation& earlier)
{
    return later.connected_at ? *later.connected_at >= earlier.ended_at + clock_error
                              : later.sent_at >= earlier.ended_at + stale_send_time;
}

} // namespace

bool is_same_end(const crash_observation& one, const crash_observation& other)
{
    if (one.runner != other.runner) {
        return false;
    }
    if (one.is_proved_by_incarnation || other.is_proved_by_incarnation) {
        // Connections that were made while the runner was restarting are cut as well, so the time
        // of the connection does not distinguish the crashes.
        return one.its_incarnation == other.its_incarnation;
    }
    return is_same_observation(one, other) ||
           (!is_of_later_incarnation(one, other) && !is_of_later_incarnation(other, one));
}

void crash_ledger::clear()
{
    histories_.clear();
}

void crash_ledger::merge(const crash_cause& cause, const crash_history& in)
{
    if (in.answered_at) {
        on_answer(*in.answered_at, cause);
    }
    for (const auto& each : in.crashes) {
        add(cause, each);
    }
}

void crash_ledger::add(const crash_cause& cause, crash_observation in)
{
    auto& own = histories_[cause];
    if (own.answered_at && in.ended_at <= *own.answered_at) {
        return;
    }
    latest_change_ = std::max(latest_change_, in.ended_at);
    const auto known = std::find_if(own.crashes.begin(), own.crashes.end(),
                                    [&](const auto& each) { return is_same_end(each, in); });
    if (known == own.crashes.end()) {
        own.crashes.push_back(std::move(in));
        drop_excess(own.crashes);
    }
    else if (is_prompt_part(cause) && !is_same_observation(*known, in)) {
        // Another request with this part was in flight. The part was from the first of them on.
        known->sent_at = std::min(known->sent_at, in.sent_at);
    }
    else if (known->daemon == in.daemon) {
        // Times within one report are consistent with one another, so the latest report replaces
        // the times of an earlier one.
        *known = std::move(in);
    }
    drop_oldest();
}

void crash_ledger::on_answer(instant now, const crash_cause& cause)
{
    auto& own = histories_[cause];
    own.answered_at = std::max(own.answered_at.value_or(now), now);
    std::erase_if(own.crashes, [&](const auto& each) { return each.ended_at <= *own.answered_at; });
    drop_oldest();
}

void crash_ledger::drop_oldest()
{
    if (histories_.size() <= max_causes_) {
        return;
    }
    const auto order_of = [this](const crash_history& in) {
        return std::pair{weight_of(in, latest_change_), latest_change(in)};
    };
    histories_.erase(std::min_element(histories_.begin(), histories_.end(),
                                      [&](const auto& one, const auto& other) {
                                          return order_of(one.second) < order_of(other.second);
                                      }));
}

const crash_history* crash_ledger::find(const crash_cause& cause) const
{
    const auto found = histories_.find(cause);
    return found == histories_.end() ? nullptr : &found->second;
}

std::set<crash_cause> crash_ledger::recorded(const std::set<crash_cause>& causes) const
{
    std::set<crash_cause> out;
    for (const auto& [cause, history] : histories_) {
        if (!history.crashes.empty() && causes.contains(cause)) {
            out.insert(cause);
        }
    }
    return out;
}

bool crash_ledger::is_explained(const crash_observation& crash, const std::set<crash_cause>& causes,
                                bool by_parts_only) const
{
    return std::any_of(causes.begin(), causes.end(), [&](const auto& cause) {
        const auto* known = by_parts_only && !is_prompt_part(cause) ? nullptr : find(cause);
        return known != nullptr &&
               std::any_of(known->crashes.begin(), known->crashes.end(),
                           [&](const auto& each) { return is_same_end(each, crash); });
    });
}

std::vector<const crash_observation*>
crash_ledger::find_counted(const crash_cause& cause, const std::set<crash_cause>& causes) const
{
    crash_pointers out;
    if (const auto* own = find(cause); own != nullptr) {
        for (const auto& each : own->crashes) {
            if (causes.contains(cause) || !is_explained(each, causes, is_prompt_part(cause))) {
                out.push_back(&each);
            }
        }
    }
    return out;
}

int crash_ledger::count(const crash_cause& cause, const std::set<crash_cause>& causes) const
{
    return static_cast<int>(find_sequence(find_counted(cause, causes)).size());
}

int crash_ledger::count_all(const crash_cause& cause, const std::set<crash_cause>& causes) const
{
    return static_cast<int>(find_counted(cause, causes).size());
}

int crash_ledger::count_unexplained(const crash_cause& cause,
                                    const std::set<crash_cause>& causes) const
{
    const auto* own = find(cause);
    return own == nullptr ? 0
                          : static_cast<int>(std::count_if(
                                own->crashes.begin(), own->crashes.end(), [&](const auto& each) {
                                    return !is_explained(each, causes, false);
                                }));
}

} // namespace cedarpoint

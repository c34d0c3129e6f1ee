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
/// runner had ended.
crash_pointers find_sequence(crash_pointers crashes)
{
    std::sort(crashes.begin(), crashes.end(),
              [](const auto* one, const auto* other) { return one->ended_at < other->ended_at; });
    crash_pointers out;
    for (const auto* each : crashes) {
        if (out.empty() || each->sent_at >= out.back()->ended_at) {
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

/// Eviction order. Requests without a crash are evicted first: many requests lose a connection and
/// are answered later.
bool is_evicted_before(const crash_history& one, const crash_history& other)
{
    return std::pair{!one.crashes.empty(), latest_change(one)} <
           std::pair{!other.crashes.empty(), latest_change(other)};
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

void crash_ledger::merge(const request_fingerprint& request, const crash_history& in)
{
    if (in.answered_at) {
        on_answer(*in.answered_at, request);
    }
    for (const auto& each : in.crashes) {
        add(request, each);
    }
}

void crash_ledger::add(const request_fingerprint& request, crash_observation in)
{
    auto& own = histories_[request];
    if (own.answered_at && in.ended_at <= *own.answered_at) {
        return;
    }
    const auto known = std::find_if(own.crashes.begin(), own.crashes.end(),
                                    [&](const auto& each) { return is_same_end(each, in); });
    if (known == own.crashes.end()) {
        own.crashes.push_back(std::move(in));
        drop_excess(own.crashes);
    }
    else if (known->daemon == in.daemon) {
        // Times within one report are consistent with one another, so the latest report replaces
        // the times of an earlier one.
        *known = std::move(in);
    }
    drop_oldest();
}

void crash_ledger::on_answer(instant now, const request_fingerprint& request)
{
    auto& own = histories_[request];
    own.answered_at = std::max(own.answered_at.value_or(now), now);
    std::erase_if(own.crashes, [&](const auto& each) { return each.ended_at <= *own.answered_at; });
    drop_oldest();
}

void crash_ledger::drop_oldest()
{
    if (histories_.size() <= max_requests_) {
        return;
    }
    histories_.erase(std::min_element(histories_.begin(), histories_.end(),
                                      [](const auto& one, const auto& other) {
                                          return is_evicted_before(one.second, other.second);
                                      }));
}

const crash_history* crash_ledger::find(const request_fingerprint& request) const
{
    const auto found = histories_.find(request);
    return found == histories_.end() ? nullptr : &found->second;
}

bool crash_ledger::is_explained(const crash_observation& crash,
                                const std::set<request_fingerprint>& causes) const
{
    return std::any_of(causes.begin(), causes.end(), [&](const auto& cause) {
        const auto* known = find(cause);
        return known != nullptr &&
               std::any_of(known->crashes.begin(), known->crashes.end(),
                           [&](const auto& each) { return is_same_end(each, crash); });
    });
}

std::vector<const crash_observation*>
crash_ledger::find_unexplained(const request_fingerprint& request,
                               const std::set<request_fingerprint>& causes) const
{
    crash_pointers out;
    if (const auto* own = find(request); own != nullptr) {
        for (const auto& each : own->crashes) {
            if (causes.contains(request) || !is_explained(each, causes)) {
                out.push_back(&each);
            }
        }
    }
    return out;
}

int crash_ledger::count(const request_fingerprint& request,
                        const std::set<request_fingerprint>& causes) const
{
    return static_cast<int>(find_sequence(find_unexplained(request, causes)).size());
}

int crash_ledger::count_all(const request_fingerprint& request,
                            const std::set<request_fingerprint>& causes) const
{
    return static_cast<int>(find_unexplained(request, causes).size());
}

} // namespace cedarpoint

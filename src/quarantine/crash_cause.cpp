#include "cedarpoint/quarantine/crash_cause.h"

#include <algorithm>
#include <optional>

namespace cedarpoint {
namespace {

/// From this many crashes on, a request is quarantined even if another one has as many.
constexpr int crashes_to_break_tie = 5;

duration time_in_flight(const crash_history& in)
{
    duration out{};
    for (const auto& each : in.crashes) {
        out += each.ended_at - each.sent_at;
    }
    return out;
}

bool have_common_crash(const crash_history& one, const crash_history& other)
{
    return std::any_of(one.crashes.begin(), one.crashes.end(), [&](const auto& each) {
        return std::any_of(other.crashes.begin(), other.crashes.end(),
                           [&](const auto& its) { return is_same_end(each, its); });
    });
}

/// Returns true if another request shares a crash with `request` and was in flight during at least
/// as many crashes.
bool has_competing_suspect(const crash_ledger& ledger, const request_fingerprint& request,
                           const std::set<request_fingerprint>& known)
{
    const auto& own = *ledger.find(request);
    const int crashes = ledger.count_all(request, known);
    const auto& all = ledger.histories();
    return std::any_of(all.begin(), all.end(), [&](const auto& other) {
        return other.first != request && !known.contains(other.first) &&
               ledger.count_all(other.first, known) >= crashes &&
               have_common_crash(own, other.second);
    });
}

std::optional<request_fingerprint> find_cause(const crash_ledger& ledger,
                                              const std::set<request_fingerprint>& known)
{
    std::optional<request_fingerprint> out;
    duration shortest{};
    for (const auto& [request, history] : ledger.histories()) {
        if (known.contains(request)) {
            continue;
        }
        const int crashes = ledger.count(request, known);
        const bool is_due =
            crashes >= crashes_to_quarantine &&
            (crashes >= crashes_to_break_tie || !has_competing_suspect(ledger, request, known));
        if (const auto time = time_in_flight(history); is_due && (!out || time < shortest)) {
            out = request;
            shortest = time;
        }
    }
    return out;
}

} // namespace

std::set<request_fingerprint> find_crash_causes(const crash_ledger& ledger,
                                                const std::set<request_fingerprint>& known)
{
    std::set<request_fingerprint> out;
    auto explained = known;
    while (const auto cause = find_cause(ledger, explained)) {
        explained.insert(*cause);
        out.insert(*cause);
    }
    return out;
}

} // namespace cedarpoint

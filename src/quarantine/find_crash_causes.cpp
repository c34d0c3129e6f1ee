#include "cedarpoint/quarantine/find_crash_causes.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace cedarpoint {
namespace {

/// From this many crashes on, a cause is quarantined even if another one explains as many.
constexpr int crashes_to_break_tie = 5;

/// A part of a prompt is quarantined only if it explains this many crashes that the quarantined
/// requests do not. Otherwise refusing those requests is enough.
constexpr int crashes_beside_requests = 2;

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

/// Returns true if another suspect shares a crash with `cause` and explains enough of them:
/// `is_enough` is called with its kind and its number of crashes.
template <typename Predicate>
bool is_challenged(const crash_ledger& ledger, const crash_cause& cause,
                   const std::set<crash_cause>& known, const Predicate& is_enough)
{
    const auto* own = ledger.find(cause);
    const auto& all = ledger.histories();
    return own != nullptr && std::any_of(all.begin(), all.end(), [&](const auto& other) {
               return other.first != cause && !known.contains(other.first) &&
                      is_enough(other.first, ledger.count_all(other.first, known)) &&
                      have_common_crash(*own, other.second);
           });
}

bool is_due(const crash_ledger& ledger, const crash_cause& cause,
            const std::set<crash_cause>& known)
{
    const int crashes = ledger.count(cause, known);
    if (crashes < crashes_to_quarantine ||
        (is_prompt_part(cause) &&
         ledger.count_unexplained(cause, known) < crashes_beside_requests)) {
        return false;
    }
    if (!has_rival(ledger, cause, known)) {
        return true;
    }
    return crashes >= crashes_to_break_tie &&
           !(is_prompt_part(cause) && has_stronger_rival(ledger, cause, known));
}

/// Sorts the causes that are due, the one to choose first. Of parts with equal times the later one
/// in the prompt is shared by fewer requests.
auto order_of(const crash_cause& cause, const crash_history& history)
{
    const auto position =
        history.crashes.empty() ? 0 : static_cast<std::int64_t>(history.crashes.back().position);
    return std::tuple{time_in_flight(history), is_prompt_part(cause), -position};
}

std::optional<crash_cause> find_cause(const crash_ledger& ledger,
                                      const std::set<crash_cause>& known)
{
    const auto& all = ledger.histories();
    auto best = all.end();
    for (auto it = all.begin(); it != all.end(); ++it) {
        if (!known.contains(it->first) && is_due(ledger, it->first, known) &&
            (best == all.end() ||
             order_of(it->first, it->second) < order_of(best->first, best->second))) {
            best = it;
        }
    }
    return best == all.end() ? std::nullopt : std::optional{best->first};
}

} // namespace

bool has_rival(const crash_ledger& ledger, const crash_cause& cause,
               const std::set<crash_cause>& known)
{
    const int crashes = ledger.count_all(cause, known);
    return is_challenged(ledger, cause, known, [&](const auto& other, int its_crashes) {
        const bool is_broader = is_prompt_part(other) && !is_prompt_part(cause);
        return its_crashes > crashes || (its_crashes == crashes && !is_broader);
    });
}

bool has_stronger_rival(const crash_ledger& ledger, const crash_cause& cause,
                        const std::set<crash_cause>& known)
{
    const int crashes = ledger.count_all(cause, known);
    return is_challenged(ledger, cause, known, [&](const auto& /*other*/, int its_crashes) {
        return its_crashes > crashes;
    });
}

std::set<crash_cause> find_crash_causes(const crash_ledger& ledger,
                                        const std::set<crash_cause>& known)
{
    std::set<crash_cause> out;
    auto explained = known;
    while (const auto cause = find_cause(ledger, explained)) {
        explained.insert(*cause);
        out.insert(*cause);
    }
    return out;
}

} // namespace cedarpoint

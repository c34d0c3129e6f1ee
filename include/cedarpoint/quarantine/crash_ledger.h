#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <cstddef>
#include <set>
#include <vector>

namespace cedarpoint {

/// Returns true if both observations are of the same crash of the same runner. Two crashes of one
/// runner are distinguished by a connection that was made after the first crash: a new process
/// accepted it. This holds however soon the runner restarts. If only a later incarnation of the
/// runner proves one of the crashes, they are distinguished by the incarnation that ended.
[[nodiscard]] bool is_same_end(const crash_observation& one, const crash_observation& other);

/// Records which requests, and which parts of their prompts, were in flight when runners crashed.
/// Observations from several daemons can be merged in any order, including repeated and late ones.
///
/// At most one of the suspects in flight at a crashing runner is the cause. It differs from the
/// others as follows:
///  - It crashes one runner after the other. Crashes are counted only if the request was sent to
///    the later runner after the earlier one had ended. Several runners that end at the same time,
///    for example when a rack fails, count once for a request that was in flight at all of them.
///  - No runner ever answers it completely. Any complete answer clears a request, and the parts of
///    its prompt, of all earlier crashes.
///  - A crash that involved a quarantined cause does not count against others, except that one
///  under
///    a quarantined request still counts against the parts of its prompt: one of them may be the
///    cause.
class crash_ledger {
public:
    /// Keeps at most `max_causes`. Evicts those without a recent crash first, then those with one
    /// crash, and of these the one whose latest crash is the oldest.
    explicit crash_ledger(std::size_t max_causes) : max_causes_{max_causes} {}

    void clear();
    void merge(const crash_cause& cause, const crash_history& in);
    /// Adds a crash. Observations of the same crash, by several daemons or of several requests with
    /// one part, count once.
    void add(const crash_cause& cause, crash_observation in);
    /// Records that a runner answered a request with this cause completely.
    void on_answer(instant now, const crash_cause& cause);

    [[nodiscard]] bool empty() const { return histories_.empty(); }
    /// Returns null if nothing is recorded for the cause.
    [[nodiscard]] const crash_history* find(const crash_cause& cause) const;
    /// Returns those of `causes` that have crashes in this ledger. The others explain nothing here;
    /// callers that count often leave them out.
    [[nodiscard]] std::set<crash_cause> recorded(const std::set<crash_cause>& causes) const;
    /// Returns the number of runners that crashed one after the other while running the suspect.
    /// Crashes that involved one of `causes` are left out, unless the suspect is itself in `causes`
    /// or is a part of a prompt and the cause a whole request.
    [[nodiscard]] int count(const crash_cause& cause, const std::set<crash_cause>& causes) const;
    /// Like `count`, but includes crashes that did not follow one another: copies of one request
    /// may be in flight at several runners.
    [[nodiscard]] int count_all(const crash_cause& cause,
                                const std::set<crash_cause>& causes) const;
    /// Like `count_all`, but leaves out all crashes that involved one of `causes`.
    [[nodiscard]] int count_unexplained(const crash_cause& cause,
                                        const std::set<crash_cause>& causes) const;
    [[nodiscard]] const crash_histories& histories() const { return histories_; }

private:
    [[nodiscard]] bool is_explained(const crash_observation& crash,
                                    const std::set<crash_cause>& causes, bool by_parts_only) const;
    [[nodiscard]] std::vector<const crash_observation*>
    find_counted(const crash_cause& cause, const std::set<crash_cause>& causes) const;
    void drop_oldest();

    crash_histories histories_;
    std::size_t max_causes_;
    instant latest_change_; ///< of any cause
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/request_fingerprint.h"

#include <cstddef>
#include <set>
#include <vector>

namespace cedarpoint {

/// True if both saw the same end of the same runner. What tells two ends apart is a connection that
/// was made after the first of them: another process took it. So a runner may be back at once. Ends
/// that are proved by a later life alone are told apart by their lives.
[[nodiscard]] bool is_same_end(const crash_observation& one, const crash_observation& other);

/// Adds up which requests were in flight when runners ended. Observations of several daemons merge
/// in any order, also repeated and late ones.
///
/// Of the requests in flight at a runner that ends, at most one is the cause. What tells it from
/// the others:
///  - it ends one runner after the other. Crashes count only if the request was sent to the later
///    runner after the earlier one had ended: several runners that end at once, with a rack, count
///    once for a request that was at all of them.
///  - no runner ever answers it whole. Any answer clears a request of all that was seen before.
///  - a crash that a quarantined request explains does not count for others.
class crash_ledger {
public:
    /// `most_requests`: that are kept; those without a crash go first, then those whose latest
    /// crash is the oldest.
    explicit crash_ledger(std::size_t most_requests) : most_requests_{most_requests} {}

    void clear();
    void merge(const request_fingerprint& request, const crash_history& in);
    /// A crash that is seen here; the same runner's end counts once, whoever saw it.
    void add(const request_fingerprint& request, crash_observation in);
    /// A runner's whole answer has come.
    void on_answer(instant now, const request_fingerprint& request);

    [[nodiscard]] bool empty() const { return histories_.empty(); }
    /// Null if nothing is known of the request.
    [[nodiscard]] const crash_history* find(const request_fingerprint& request) const;
    /// Runners that have ended under the request one after the other. Crashes that one of `causes`
    /// explains don't count, unless the request is among them.
    [[nodiscard]] int count(const request_fingerprint& request,
                            const std::set<request_fingerprint>& causes) const;
    /// The same, also those that did not end one after the other: copies of one request may be in
    /// flight at several runners.
    [[nodiscard]] int count_all(const request_fingerprint& request,
                                const std::set<request_fingerprint>& causes) const;
    [[nodiscard]] const crash_histories& histories() const { return histories_; }

private:
    [[nodiscard]] bool is_explained(const crash_observation& crash,
                                    const std::set<request_fingerprint>& causes) const;
    [[nodiscard]] std::vector<const crash_observation*>
    find_unexplained(const request_fingerprint& request,
                     const std::set<request_fingerprint>& causes) const;
    void drop_oldest();

    crash_histories histories_;
    std::size_t most_requests_;
};

} // namespace cedarpoint

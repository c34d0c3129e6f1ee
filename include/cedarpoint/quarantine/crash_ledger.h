#pragma once

#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/request_fingerprint.h"

#include <cstddef>
#include <set>
#include <vector>

namespace cedarpoint {

/// Returns true if both observations are of the same crash of the same runner. Two crashes of one
/// runner are distinguished by a connection that was made after the first crash: a new process
/// accepted it. This holds however soon the runner restarts. If only a later incarnation of the
/// runner proves one of the crashes, they are distinguished by the incarnation that ended.
[[nodiscard]] bool is_same_end(const crash_observation& one, const crash_observation& other);

/// Records which requests were in flight when runners crashed. Observations from several daemons
/// can be merged in any order, including repeated and late ones.
///
/// At most one of the requests in flight at a crashing runner is the cause. It differs from the
/// others as follows:
///  - It crashes one runner after the other. Crashes are counted only if the request was sent to
///    the later runner after the earlier one had ended. Several runners that end at the same time,
///    for example when a rack fails, count once for a request that was in flight at all of them.
///  - No runner ever answers it completely. Any complete answer clears a request of all earlier
///    crashes.
///  - A crash that involved a quarantined request does not count against other requests.
class crash_ledger {
public:
    /// Keeps at most `max_requests` requests. Evicts requests without a crash first, then those
    /// whose latest crash is the oldest.
    explicit crash_ledger(std::size_t max_requests) : max_requests_{max_requests} {}

    void clear();
    void merge(const request_fingerprint& request, const crash_history& in);
    /// Adds a crash. Observations of the same crash by several daemons count once.
    void add(const request_fingerprint& request, crash_observation in);
    /// Records that a runner answered the request completely.
    void on_answer(instant now, const request_fingerprint& request);

    [[nodiscard]] bool empty() const { return histories_.empty(); }
    /// Returns null if nothing is recorded for the request.
    [[nodiscard]] const crash_history* find(const request_fingerprint& request) const;
    /// Returns the number of runners that crashed one after the other while running the request.
    /// Crashes that involved one of `causes` are left out, unless the request is itself in
    /// `causes`.
    [[nodiscard]] int count(const request_fingerprint& request,
                            const std::set<request_fingerprint>& causes) const;
    /// Like `count`, but includes crashes that did not follow one another: copies of one request
    /// may be in flight at several runners.
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
    std::size_t max_requests_;
};

} // namespace cedarpoint

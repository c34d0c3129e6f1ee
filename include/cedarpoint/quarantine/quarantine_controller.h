#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/runner_incarnations.h"
#include "cedarpoint/quarantine/unproved_cuts.h"

#include <map>
#include <set>
#include <vector>

namespace cedarpoint {

/// An order to quarantine a request, with the crashes that justify it.
struct quarantine_order {
    request_fingerprint request;
    std::vector<crash_observation> crashes;
};

/// Combines the crash observations of all entry daemons and decides which requests are
/// quarantined. This is soft state of the leading control daemon that is cleared at the start of
/// each term; the daemons report their observations again to a new leader. The decisions themselves
/// are kept in the replicated log.
class quarantine_controller {
public:
    quarantine_controller();

    void clear();
    void on_report(const crash_histories& in);
    /// Adds cuts that the entry daemons could not prove to be crashes. Returns those that are now
    /// known to be crashes: a later incarnation of the runner may have been seen already. Not
    /// called by `fleet_leader` today: reported cuts are not counted.
    crash_histories on_cuts(instant now, const crash_histories& in);
    /// Records the incarnation of the runner that the replicated log holds.
    void expect(const runner_id& runner, incarnation its_incarnation)
    {
        incarnations_.expect(runner, its_incarnation);
    }
    /// Records a heartbeat of the runner in this incarnation. Returns the cuts that this proves to
    /// be crashes.
    crash_histories on_heartbeat(instant now, const runner_id& runner, incarnation its_incarnation);
    /// Records that another runner has started at the runner's address. Returns the cuts that this
    /// proves to be crashes.
    crash_histories on_replaced(instant now, const runner_id& runner);
    void forget(const runner_id& runner) { incarnations_.forget(runner); }
    /// Returns the requests to quarantine in addition to those in `quarantined`, as determined by
    /// `find_crash_causes`. Returns each again at intervals until it is in `quarantined`.
    [[nodiscard]] std::vector<quarantine_order>
    decide(instant now, const std::set<request_fingerprint>& quarantined);
    /// Returns the crash counts to send to entry daemons. The count is 0 for the requests in
    /// `lifted`, so that the daemons drop their own observations of them.
    [[nodiscard]] crash_counts counts(const std::set<request_fingerprint>& quarantined,
                                      const std::set<request_fingerprint>& lifted = {}) const;
    /// Records that an operator lifted the quarantine of the request, which clears it of all
    /// earlier crashes.
    void on_lifted(instant now, const request_fingerprint& request);
    /// Returns null if nothing is recorded for the request.
    [[nodiscard]] const crash_history* find(const request_fingerprint& request) const
    {
        return ledger_.find(request);
    }

private:
    crash_histories take_proved(instant now);

    crash_ledger ledger_;
    runner_incarnations incarnations_;
    unproved_cuts cuts_;
    std::map<request_fingerprint, instant> ordered_at_;
    std::set<request_fingerprint> causes_;      ///< as of the latest decision
    std::set<request_fingerprint> decided_for_; ///< requests already quarantined at that time
    bool needs_update_ = false;
};

} // namespace cedarpoint

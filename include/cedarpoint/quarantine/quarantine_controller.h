#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/runner_lives.h"
#include "cedarpoint/quarantine/unproved_cuts.h"

#include <map>
#include <set>
#include <vector>

namespace cedarpoint {

/// A request that is to be sent to no runner any more, with the crashes that show why.
struct quarantine_order {
    request_fingerprint request;
    std::vector<crash_observation> crashes;
};

/// Adds up for the whole fleet what entry daemons saw of requests under which runners end, and
/// decides which requests are quarantined. Soft state of the leading control daemon, begun anew
/// with each term: a new leader gets the observations from the daemons. The decisions themselves
/// are kept in the log.
class quarantine_controller {
public:
    quarantine_controller();

    void clear();
    void on_report(const crash_histories& in);
    /// Cuts at runners whose addresses took connections afterwards. Returns those that are known to
    /// have been ends: a later life may have been heard before.
    crash_histories on_cuts(instant now, const crash_histories& in);
    /// The log holds the runner in this life.
    void expect(const runner_id& runner, birth life) { lives_.expect(runner, life); }
    /// A heartbeat of the runner in this life has come. Returns the cuts that this proves.
    crash_histories on_heard(instant now, const runner_id& runner, birth life);
    /// Another runner has begun at its address; the same.
    crash_histories on_replaced(instant now, const runner_id& runner);
    void forget(const runner_id& runner) { lives_.forget(runner); }
    /// Requests that are to be quarantined beside those in `quarantined`, by `find_crash_causes`;
    /// each is named again after a while, until it is among them.
    [[nodiscard]] std::vector<quarantine_order>
    decide(instant now, const std::set<request_fingerprint>& quarantined);
    /// What entry daemons are to know: how many runners have ended under each request; 0 for those
    /// in `lifted`, so that they forget what they saw of them.
    [[nodiscard]] crash_counts counts(const std::set<request_fingerprint>& quarantined,
                                      const std::set<request_fingerprint>& lifted = {}) const;
    /// An operator holds the request for harmless from now on.
    void on_lifted(instant now, const request_fingerprint& request);
    /// Null if nothing is known of the request.
    [[nodiscard]] const crash_history* find(const request_fingerprint& request) const
    {
        return ledger_.find(request);
    }

private:
    crash_histories take_proved(instant now);

    crash_ledger ledger_;
    runner_lives lives_;
    unproved_cuts cuts_;
    std::map<request_fingerprint, instant> ordered_at_;
    std::set<request_fingerprint> causes_; ///< as of the latest report, beside `decided_for_`
    std::set<request_fingerprint> decided_for_;
    bool has_news_ = false;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"
#include "cedarpoint/quarantine/runner_incarnations.h"
#include "cedarpoint/quarantine/unproved_cuts.h"

#include <map>
#include <set>
#include <vector>

namespace cedarpoint {

/// An order to quarantine a cause, with the crashes that justify it.
struct quarantine_order {
    crash_cause cause;
    std::vector<crash_observation> crashes;
};

/// Combines the crash observations of all entry daemons and decides which requests and which parts
/// of prompts are quarantined. This is soft state of the leading control daemon that is cleared at
/// the start of each term; the daemons report their observations again to a new leader. The
/// decisions themselves are kept in the replicated log.
class quarantine_controller {
public:
    quarantine_controller();

    void clear();
    void on_report(const crash_histories& in);
    /// Adds cuts that the entry daemons could not prove to be crashes. Returns those that are now
    /// known to be crashes: a later incarnation of the runner may have been seen already.
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
    /// Returns the causes to quarantine in addition to those in `quarantined`, as determined by
    /// `find_crash_causes`. Returns each again at intervals until it is in `quarantined`. A part of
    /// a prompt is returned only after entry daemons had the time to report answers to requests
    /// that have it.
    [[nodiscard]] std::vector<quarantine_order> decide(instant now,
                                                       const std::set<crash_cause>& quarantined);
    /// Returns the crash counts to send to entry daemons. The count is 0 for the causes in
    /// `lifted`, so that the daemons drop their own observations of them. It is 1 for a suspect
    /// that another one may explain, and a part of a prompt has none below two crashes.
    [[nodiscard]] crash_counts counts(const std::set<crash_cause>& quarantined,
                                      const std::set<crash_cause>& lifted = {});
    /// Records that an operator lifted the quarantine of the cause, which clears it of all earlier
    /// crashes.
    void on_lifted(instant now, const crash_cause& cause);
    /// Returns null if nothing is recorded for the cause.
    [[nodiscard]] const crash_history* find(const crash_cause& cause) const
    {
        return ledger_.find(cause);
    }

private:
    crash_histories take_proved(instant now);
    /// Derives causes and counts from the ledger if it has changed.
    void update(const std::set<crash_cause>& quarantined);
    /// Records since when each part of a prompt has been suspected.
    void update_suspected_parts(instant now);
    [[nodiscard]] bool has_waited_for_answers(instant now, const crash_cause& cause) const;
    [[nodiscard]] crash_counts count_suspects(const std::set<crash_cause>& known) const;

    crash_ledger ledger_;
    runner_incarnations incarnations_;
    unproved_cuts cuts_;
    std::map<crash_cause, instant> ordered_at_;
    std::set<crash_cause> causes_;      ///< as of the latest update
    crash_counts suspects_;             ///< as of the latest update
    std::set<crash_cause> updated_for_; ///< causes already quarantined at that time
    std::map<crash_cause, instant> part_suspected_at_;
    bool needs_update_ = false;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_cause.h"
#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cedarpoint {

/// A runner's complete answer, as evidence that a request does not crash runners.
enum class answer_kind { success, failure };

/// Tracks, in one daemon, the requests and the parts of prompts that crash runners: from the
/// daemon's own observations, and from the counts that the leader adds up over all daemons. Decides
/// whether a request may be sent.
///
/// A connection that ends without an answer (a cut) does not prove a crash: the connection may have
/// been reset or interrupted, or the answer malformed. The runner's address is therefore checked at
/// once, and only a refused connection counts as a crash: the process is gone. If the address
/// accepts the connection, the cut is reported separately from crashes; the leader counts it once a
/// later incarnation of the runner proves that it was one. A runner that is leaving ends as
/// planned; callers don't report its cuts here.
///
/// Every observation must reach the leader. Each is therefore reported until the leader of the
/// current term has answered a report that contains it, so a new leader receives them all.
class crash_detector {
public:
    crash_detector();

    /// Records that a connection to a runner ended without an answer while a request with these
    /// possible causes was in flight.
    /// Returns true if the caller has to check the runner's address and pass the result to
    /// `on_address_checked`; false if a check of this runner is already under way.
    bool on_cut(const possible_causes& causes, crash_observation in);
    /// Takes the result of the check of a runner's address. Returns the cuts that it proves to be
    /// crashes. If they belong to several incarnations of the runner, a refused connection proves
    /// only those of the latest one.
    crash_histories on_address_checked(instant now, const runner_id& runner, bool refused);
    /// Adds the observations of another daemon, where there is no leader to combine them.
    void merge(instant now, const crash_histories& in);
    /// Records that a runner answered a request completely. Only a success clears the parts of its
    /// prompt: a runner may reject a request before it processes them.
    void on_answer(instant now, const possible_causes& causes, answer_kind kind);
    /// Replaces the counts of the leader. Drops this daemon's own observations of a cause whose
    /// count has become 0.
    void set_leader_counts(instant now, crash_counts counts);

    /// Returns false while nothing is suspected; then callers need not compute possible causes to
    /// ask `find_quarantined` or `may_retry`.
    [[nodiscard]] bool has_suspects() const
    {
        return !leader_counts_.empty() || !own_ledger_.empty() || !unchecked_.empty();
    }
    /// Returns false while no request has crashes or cuts that an answer could clear.
    [[nodiscard]] bool needs_answers() const { return has_suspects() || !cuts_.empty(); }
    /// Returns the cause for which a request must not be sent to any runner: by the leader's
    /// decision or, while no leader answers, also by this daemon's own observations. Empty if there
    /// is none.
    [[nodiscard]] std::optional<crash_cause> find_quarantined(instant now,
                                                              const possible_causes& causes);
    [[nodiscard]] bool is_quarantined(instant now, const possible_causes& causes)
    {
        return find_quarantined(now, causes).has_value();
    }
    /// Returns true if a failed attempt may be retried. Cuts of the request whose check is under
    /// way count as crashes here once there is at least one crash. A request or a part of its
    /// prompt is not blamed for crashes that another suspect explains better.
    [[nodiscard]] bool may_retry(const possible_causes& causes) const;
    [[nodiscard]] std::size_t count_quarantined() const { return quarantined_.size(); }
    [[nodiscard]] std::size_t count_suspected() const { return leader_counts_.size(); }

    /// Returns the crashes and answers that the leader of the current term has not confirmed.
    [[nodiscard]] crash_histories unconfirmed() const;
    /// Returns the cuts that this daemon can't prove to be crashes and that the leader of the
    /// current term has not confirmed.
    [[nodiscard]] crash_histories unconfirmed_cuts(instant now);
    /// Records that the leader of `term` has answered the report that was made at `asked_at`.
    void on_confirmed(instant now, std::uint64_t term, instant asked_at);

private:
    struct unchecked_cut {
        possible_causes causes;
        crash_observation crash;
    };
    /// A cut that is not proved to be a crash: the runner's address accepted a connection
    /// afterwards, or the refused connection proves only the end of a later incarnation.
    struct unproved_cut {
        possible_causes causes;
        crash_observation crash;
        instant checked_at;
        bool is_reported = false;
        bool is_confirmed = false; ///< by the leader of the current term
    };

    [[nodiscard]] int count(const crash_cause& request) const;
    [[nodiscard]] int count_unchecked(const crash_cause& request) const;
    [[nodiscard]] bool is_blamed(const crash_cause& cause) const;
    void note_answer(instant now, const crash_cause& cause, bool was_reported);
    void note_change(instant now, const crash_cause& cause);
    [[nodiscard]] const std::set<crash_cause>& own_causes();
    void add_unproved_cut(instant now, unchecked_cut in);
    /// Drops the cuts of a request that was answered. Returns true if one of them had been reported
    /// to the leader.
    bool drop_cuts(const crash_cause& request);

    crash_ledger own_ledger_;
    crash_counts leader_counts_;
    std::set<crash_cause> quarantined_; ///< by the leader
    std::set<crash_cause> own_causes_;  ///< by this daemon's own observations
    bool own_causes_outdated_ = false;
    std::optional<instant> answered_report_at_;
    std::map<runner_id, std::vector<unchecked_cut>> unchecked_;
    std::deque<unproved_cut> cuts_;
    /// When the history of each cause that is not confirmed last changed.
    std::map<crash_cause, instant> changed_at_;
    std::uint64_t term_ = 0;
};

} // namespace cedarpoint

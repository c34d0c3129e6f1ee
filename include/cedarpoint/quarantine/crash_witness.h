#pragma once

#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/quarantine/crash_ledger.h"
#include "cedarpoint/quarantine/crash_observation.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace cedarpoint {

/// What one daemon knows of requests under which runners end: what it saw itself, and what the
/// leader told it of the others'. Decides for each request whether it may be sent.
///
/// A connection that ends without an answer proves no crash: it may be a reset, a cut, or a spoiled
/// answer. So the runner's address is tried at once, and only a refused connection counts: the
/// process is gone. If the address takes the connection, the cut is reported apart from crashes;
/// the leader does not count it. Runners that are leaving end as planned; the caller passes over
/// them.
///
/// Relies on: the leader learning of all observations. They are reported until the leader of the
/// present term has answered a report that holds them, so a new leader gets them all.
class crash_witness {
public:
    crash_witness();

    /// A connection to a runner ended without an answer while `request` was in flight there. True
    /// if its address is to be tried, with the result for `on_checked`.
    bool on_cut(const request_fingerprint& request, crash_observation in);
    /// The address of a runner was tried. Returns what has become an observation by that: of cuts
    /// of several lives only those of the latest one, which a refused connection shows to have
    /// ended.
    crash_histories on_checked(instant now, const runner_id& runner, bool refused);
    /// What another daemon knows, where there is no leader to add it up.
    void merge(instant now, const crash_histories& in);
    /// A runner's whole answer to the request has come.
    void on_answer(instant now, const request_fingerprint& request);
    /// Replaces what the leader knows. What was seen of a request whose count has become 0 is
    /// forgotten.
    void set_shared(instant now, crash_counts counts);

    /// False while no request is suspected: then a fingerprint need not be computed.
    [[nodiscard]] bool is_watching() const
    {
        return !shared_.empty() || !own_.empty() || !unchecked_.empty();
    }
    /// False while no answer can clear a request of anything.
    [[nodiscard]] bool needs_answers() const { return is_watching() || !cuts_.empty(); }
    /// Not to be sent to any runner: by the leader's decision, or while none speaks by what was
    /// seen here alone.
    [[nodiscard]] bool is_quarantined(instant now, const request_fingerprint& request) const;
    /// A failed attempt is not to be followed by another of the same try.
    [[nodiscard]] bool may_retry(const request_fingerprint& request) const;
    [[nodiscard]] std::size_t count_quarantined() const { return quarantined_.size(); }
    [[nodiscard]] std::size_t count_suspected() const { return shared_.size(); }

    /// What the leader of the present term has not confirmed.
    [[nodiscard]] crash_histories unconfirmed() const;
    /// Cuts that prove nothing here and that the leader of the present term has not confirmed.
    [[nodiscard]] crash_histories unconfirmed_cuts(instant now);
    /// The leader of `term` has answered the report that was made at `asked_at`.
    void on_confirmed(instant now, std::uint64_t term, instant asked_at);

private:
    struct unchecked_cut {
        request_fingerprint request;
        crash_observation crash;
    };
    /// The address took a connection after it.
    struct unproved_cut {
        request_fingerprint request;
        crash_observation crash;
        instant checked_at;
        bool is_told = false;
        bool is_confirmed = false; ///< by the leader of the present term
    };

    [[nodiscard]] int count(const request_fingerprint& request) const;
    void note_change(instant now, const request_fingerprint& request);
    void keep_unproved(instant now, unchecked_cut in);
    /// Drops the cuts of a request that was answered. True if the leader was told of one.
    bool drop_cuts(const request_fingerprint& request);

    crash_ledger own_;
    crash_counts shared_;
    std::set<request_fingerprint> quarantined_; ///< by the leader
    std::set<request_fingerprint> own_causes_;  ///< by what was seen here
    std::optional<instant> leader_heard_at_;
    std::map<runner_id, std::vector<unchecked_cut>> unchecked_;
    std::deque<unproved_cut> cuts_;
    std::map<request_fingerprint, instant> changed_at_; ///< of what is not confirmed
    std::uint64_t term_ = 0;
};

} // namespace cedarpoint

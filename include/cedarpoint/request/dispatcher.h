#pragma once

#include "cedarpoint/admission/account_limits.h"
#include "cedarpoint/admission/wait_queue.h"
#include "cedarpoint/config/configuration.h"
#include "cedarpoint/quarantine/crash_detector.h"
#include "cedarpoint/request/actions.h"
#include "cedarpoint/request/caller_admission.h"
#include "cedarpoint/request/failure_rule.h"
#include "cedarpoint/request/open_requests.h"
#include "cedarpoint/request/request_facts.h"
#include "cedarpoint/request/token_retry_budget.h"
#include "cedarpoint/routing/router.h"
#include "cedarpoint/sessions/session_table.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// Limits of one daemon's dispatcher.
struct dispatch_options {
    duration longest_wait = seconds{30}; ///< in the queue, for a request without deadline
    int max_attempts = 4;                ///< for one request, including the first
    double limit_share = 1.0;            ///< fraction of the accounts' fleet-wide limits, 0 to 1
    own_permit_options permits{};        ///< for runners that name a rate limit
};

/// Makes all decisions on the requests of one daemon, from arrival to the final answer. It combines
/// `caller_admission`, `crash_detector`, `account_limits`, `wait_queue`, `router` and
/// `failure_rule`. Owns the open requests, the queues, the sessions and the accounts' usage.
/// It does no I/O: calls take the present time and return the actions to perform, in order. The
/// user must perform them and report the end of each attempt exactly once.
class dispatcher {
public:
    dispatcher(failure_domain_id home, dispatch_options options);

    /// Sets the configuration in force. Until the first call every key is unknown.
    void set_configuration(std::shared_ptr<const configuration> config);
    /// Replaces the targets and starts the queued requests that they have room for.
    [[nodiscard]] actions set_targets(instant now, target_table all);

    /// Handles a new request: refuses, claims, queues or starts it.
    [[nodiscard]] actions submit(instant now, request_facts facts);
    /// Handles the result of `ask_claim`. No actions if the request no longer waits for it.
    [[nodiscard]] actions claim_answered(instant now, const request_id& request,
                                         claim_verdict verdict);
    /// Called just before bytes of the request are passed to the connection.
    void attempt_sending(attempt_id attempt);
    /// Called just before the head of the response is passed to the caller.
    void attempt_answering(attempt_id attempt);
    /// Applies what the head of a response says about its runner. Returns which of it is new.
    new_signals attempt_signals(instant now, attempt_id attempt, const answer_signals& in);
    /// Called for each whole event that is passed to the caller.
    void attempt_event(attempt_id attempt);
    /// Returns true if a 5xx response must be reported as `attempt_end::server_error` and not be
    /// passed to the caller.
    [[nodiscard]] bool must_report_server_error(attempt_id attempt) const;
    /// Completes the request, or retries, resumes or refuses it. No actions if the attempt has
    /// already ended.
    [[nodiscard]] actions attempt_ended(instant now, attempt_id attempt, attempt_end how);
    /// Handles the result of `check_runner`; `refused` is true if the runner's address refused the
    /// connection. Returns the crashes that this confirms, by request.
    crash_histories runner_checked(instant now, const runner_id& runner, bool refused);
    /// Adds what another daemon knows about requests whose runners crashed.
    void merge_crashes(instant now, const crash_histories& in) { crashes_.merge(now, in); }
    /// Returns the crashes to report to the other daemons.
    [[nodiscard]] crash_histories known_crashes() const { return crashes_.unconfirmed(); }
    /// Cancels the request after the caller closed its connection.
    [[nodiscard]] actions caller_gone(instant now, const request_id& request);
    /// Refuses requests that waited too long and starts the retries that are due. Both are late by
    /// up to the time between two calls.
    [[nodiscard]] actions tick(instant now);
    /// Begins a graceful shutdown: refuses new requests and waiting requests that never ran. The
    /// other requests continue.
    [[nodiscard]] actions begin_stop(instant now);

    /// Returns the number of requests between admission and final answer, including queued ones.
    [[nodiscard]] std::size_t in_flight() const { return open_.size(); }
    [[nodiscard]] std::size_t queued() const;
    /// Returns the number of sessions whose group is known.
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }
    /// Returns the number of attempts that run at `upstream`.
    [[nodiscard]] int in_flight_at(const runner_id& upstream) const
    {
        return router_.in_flight(upstream);
    }
    /// Returns the account whose key has this digest (lower-case hex SHA-256), or null if there is
    /// none.
    [[nodiscard]] const account_spec* authenticate(const std::string& key_digest) const;
    /// Returns null until a configuration is set.
    [[nodiscard]] const configuration* config() const { return config_.get(); }

private:
    void enqueue(instant now, open_request& it, actions& out);
    void start_queued(instant now, actions& out);
    bool try_start(instant now, open_request& it, actions& out);
    void handle_failure(instant now, open_request& it, attempt_end how, actions& out);
    /// Reports to the crash detector what the end of the attempt shows about its request.
    void record_attempt_end(instant now, const open_request& it, attempt_end how, actions& out);
    [[nodiscard]] bool retry_may_crash_runner(const open_request& it, attempt_end how) const;
    /// Answers the request with `error` and closes it.
    void refuse_request(const request_id& request, refusal error, actions& out);
    /// As `refuse_request`, for a request that is in the queue or for which the queue is full.
    void refuse_queued_request(const request_id& request, refusal why, actions& out);
    void close(const request_id& request, claim_outcome outcome, actions& out);

    dispatch_options options_;
    std::shared_ptr<const configuration> config_;
    router router_;
    session_table sessions_;
    account_limits limits_;
    token_retry_budget budget_;
    open_requests open_;
    crash_detector crashes_;
    std::unordered_map<std::string, wait_queue> queues_; ///< by `admitted_call::queue_key`
    bool stopping_ = false;
};

} // namespace cedarpoint

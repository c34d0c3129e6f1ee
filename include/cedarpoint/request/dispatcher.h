#pragma once

#include "cedarpoint/admission/account_limits.h"
#include "cedarpoint/admission/wait_queue.h"
#include "cedarpoint/config/configuration.h"
#include "cedarpoint/quarantine/crash_witness.h"
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

/// Limits of one daemon.
struct dispatch_options {
    duration longest_wait = seconds{30}; ///< in the queue, for requests without a deadline
    int max_attempts = 4;                ///< for one request, the first one included
    double limit_share = 1.0;            ///< fraction of the accounts' fleet-wide limits, 0 to 1
    own_permit_options permits{};        ///< for runners that name a rate limit
};

/// Decides about every request of one daemon, from its arrival to its final answer, by asking
/// in turn: `caller_admission`, `crash_witness`, `account_limits`, `wait_queue`, `router`,
/// `failure_rule`. Owns
/// the open requests, the queues, the sessions and the accounts' usage. It does no I/O: each
/// call takes the present time and returns what is to be done, in order.
/// Relies on its user to do that and to report each attempt's end once.
class dispatcher {
public:
    dispatcher(failure_domain_id home, dispatch_options options);

    /// Before the first one every key is unknown.
    void set_configuration(std::shared_ptr<const configuration> config);
    /// Replaces the places that requests can go to, and starts what now finds one.
    [[nodiscard]] actions set_targets(instant now, target_table all);

    /// A new request: refuses it, asks for its claim, queues or starts it.
    [[nodiscard]] actions submit(instant now, request_facts facts);
    /// The answer to `ask_claim`. No actions if the request no longer waits for it.
    [[nodiscard]] actions claim_answered(instant now, const request_id& request,
                                         claim_verdict verdict);
    /// Bytes of the request are about to be handed to the connection.
    void attempt_sending(attempt_id attempt);
    /// The head of the answer is about to be passed to the caller.
    void attempt_answering(attempt_id attempt);
    /// The head of an answer says this of its runner. What of it was not known before.
    signal_news attempt_signals(instant now, attempt_id attempt, const answer_signals& in);
    /// One more whole event was passed to the caller.
    void attempt_event(attempt_id attempt);
    /// Whether a 5xx answer should come back as `server_error` rather than be passed on.
    [[nodiscard]] bool wants_server_error(attempt_id attempt) const;
    /// Ends the request, or retries, resumes or refuses it. No actions for an attempt that has
    /// ended.
    [[nodiscard]] actions attempt_ended(instant now, attempt_id attempt, attempt_end how);
    /// The address of a runner was tried, as `check_runner` asks. Returns what is known by it of
    /// the requests that were in flight there.
    crash_histories runner_checked(instant now, const runner_id& runner, bool refused);
    /// What another daemon knows of requests under which runners ended.
    void merge_crashes(instant now, const crash_histories& in) { crashes_.merge(now, in); }
    /// What the other daemons are to know.
    [[nodiscard]] crash_histories known_crashes() const { return crashes_.unconfirmed(); }
    /// The caller closed its connection: cancels the request.
    [[nodiscard]] actions caller_gone(instant now, const request_id& request);
    /// Gives up what waited too long and starts retries that are due. The shorter the time between
    /// two calls, the less late both are.
    [[nodiscard]] actions tick(instant now);
    /// Graceful shutdown: refuses new requests and those that wait and never ran; the others go on.
    [[nodiscard]] actions begin_stop(instant now);

    /// Requests between admission and final answer, queued ones included.
    [[nodiscard]] std::size_t in_flight() const { return open_.size(); }
    [[nodiscard]] std::size_t queued() const;
    /// Sessions whose group is known.
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }
    /// Attempts that run at one upstream.
    [[nodiscard]] int in_flight_at(const runner_id& upstream) const
    {
        return router_.in_flight(upstream);
    }
    /// The account with this key (digest: lower-case hex SHA-256); null if there is none.
    [[nodiscard]] const account_spec* authenticate(const std::string& key_digest) const;
    /// Null until one is set.
    [[nodiscard]] const configuration* config() const { return config_.get(); }

private:
    void enqueue(instant now, open_request& it, actions& out);
    void pump(instant now, actions& out);
    bool try_start(instant now, open_request& it, actions& out);
    void after_failure(instant now, open_request& it, attempt_end how, actions& out);
    /// Tells the crash witness what the attempt's end shows of its request.
    void note_end(instant now, const open_request& it, attempt_end how, actions& out);
    [[nodiscard]] bool may_end_more_runners(const open_request& it, attempt_end how) const;
    void give_up(const request_id& request, refusal error, actions& out);
    /// The same for one that is in the queue, or finds no place in it.
    void give_up_queued(const request_id& request, refusal why, actions& out);
    void close(const request_id& request, claim_outcome outcome, actions& out);

    dispatch_options options_;
    std::shared_ptr<const configuration> config_;
    router router_;
    session_table sessions_;
    account_limits limits_;
    token_retry_budget budget_;
    open_requests open_;
    crash_witness crashes_;
    std::unordered_map<std::string, wait_queue> lanes_; ///< by `admitted_call::lane`
    bool stopping_ = false;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/admission/account_limits.h"
#include "cedarpoint/admission/wait_queue.h"
#include "cedarpoint/config/configuration.h"
#include "cedarpoint/request/actions.h"
#include "cedarpoint/request/token_retry_budget.h"
#include "cedarpoint/routing/router.h"
#include "cedarpoint/sessions/session_table.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace cedarpoint {

/// What a caller asked for, as read from its head and body.
struct request_facts {
    request_id id;
    std::string key_digest; ///< lower-case hex SHA-256 of the account's secret
    std::optional<model_id> model;
    std::string path; ///< for plain services
    bool streamed = false;
    bool safe_method = false; ///< GET or HEAD
    std::optional<session_id> session;
    std::string idempotency_key;
    bool not_repeatable = false; ///< the caller marked it
    std::optional<priority_class> priority;
    std::optional<instant> deadline;
    std::uint64_t prefix = 0; ///< hash of the prompt's beginning
};

/// How an attempt ended, as the side with the sockets saw it.
enum class attempt_end {
    complete,    ///< the whole answer arrived
    refused,     ///< the runner itself said that it did not take the request
    unsent,      ///< no byte reached the connection
    cut,         ///< it ended early, after bytes had been sent
    server_error ///< a whole answer with a 5xx status, not yet passed on
};

/// Bounds that the operator can set.
struct dispatch_options {
    duration longest_wait = seconds{30}; ///< in the queue, for requests without a deadline
    int max_attempts = 4;
    double limit_share = 1.0; ///< of the accounts' fleet-wide limits
};

/// Decides about every request of one daemon, from its arrival to its final answer. It does no
/// I/O: each call takes the present time and returns what is to be done, in order.
/// The caller of this class promises to report each attempt's end once.
class dispatcher {
public:
    dispatcher(failure_domain_id home, dispatch_options options);

    void set_configuration(std::shared_ptr<const configuration> config);
    [[nodiscard]] actions set_targets(instant now, target_table all);

    [[nodiscard]] actions submit(instant now, request_facts facts);
    [[nodiscard]] actions claim_answered(instant now, const request_id& request,
                                         claim_verdict verdict);
    /// Bytes of the request are about to be handed to the connection.
    void attempt_sending(attempt_id attempt);
    /// The head of the answer is about to be passed to the caller.
    void attempt_answering(attempt_id attempt);
    /// One more whole event was passed to the caller.
    void attempt_event(attempt_id attempt);
    /// Whether a 5xx answer should come back as `server_error` rather than be passed on.
    [[nodiscard]] bool wants_server_error(attempt_id attempt) const;
    [[nodiscard]] actions attempt_ended(instant now, attempt_id attempt, attempt_end how);
    [[nodiscard]] actions caller_gone(instant now, const request_id& request);
    [[nodiscard]] actions tick(instant now);
    /// From now on every new request is refused; those that run go on.
    [[nodiscard]] actions begin_stop(instant now);

    [[nodiscard]] std::size_t in_flight() const { return exchanges_.size(); }
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t sessions() const { return sessions_.size(); }
    [[nodiscard]] int in_flight_at(const runner_id& upstream) const
    {
        return router_.in_flight(upstream);
    }
    [[nodiscard]] const account_spec* authenticate(const std::string& key_digest) const;
    [[nodiscard]] const configuration* config() const { return config_.get(); }

private:
    enum class phase { claiming, queued, running, backing_off };

    struct exchange {
        request_facts facts;
        client_account_id account;
        int weight = 1;
        priority_class priority = priority_class::normal;
        failure_domain_id home;
        phase at = phase::queued;
        instant since;
        instant give_up;
        instant retry_at;
        bool repeatable = true;
        bool claimed = false;
        bool sending = false;  ///< the present attempt handed bytes to its connection
        bool sent = false;     ///< an attempt that has ended may have run
        bool answered = false; ///< the answer's head went to the caller
        std::uint64_t events = 0;
        int attempts = 0;
        attempt_id attempt;
        runner_id upstream;
        route_query query;
        std::string lane;
    };

    std::optional<refusal> prepare(instant now, exchange& it) const;
    std::optional<refusal> prepare_model(exchange& it) const;
    std::optional<refusal> prepare_service(exchange& it) const;
    void enqueue(instant now, exchange& it, actions& out);
    void pump(instant now, actions& out);
    void pump_lane(instant now, wait_queue& lane, actions& out);
    bool try_start(instant now, exchange& it, actions& out);
    void retry(instant now, exchange& it, actions& out);
    void end_backoff(instant now, actions& out);
    void after_failure(instant now, exchange& it, attempt_end how, actions& out);
    void give_up(const request_id& request, refusal error, actions& out);
    void close(const request_id& request, claim_outcome outcome, actions& out);
    exchange* find_attempt(attempt_id attempt);
    [[nodiscard]] const exchange* find_attempt(attempt_id attempt) const;

    dispatch_options options_;
    std::shared_ptr<const configuration> config_;
    router router_;
    session_table sessions_;
    account_limits limits_;
    token_retry_budget budget_;
    std::unordered_map<request_id, exchange> exchanges_;
    std::unordered_map<std::uint64_t, request_id> attempts_;
    std::unordered_map<std::string, wait_queue> lanes_;
    std::uint64_t last_attempt_ = 0;
    bool stopping_ = false;
};

} // namespace cedarpoint

#pragma once

#include "cedarpoint/core/endpoint.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"
#include "cedarpoint/core/units.h"
#include "cedarpoint/request/caller_admission.h"
#include "cedarpoint/request/failure_rule.h"
#include "cedarpoint/request/request_facts.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cedarpoint {

/// A request between admission and final answer.
struct open_request {
    enum class phase_t {
        claiming,   ///< waits for the claim from the account's home failure domain
        queued,     ///< waits for a free slot
        running,    ///< an attempt runs at a runner
        backing_off ///< waits until `retry_at`
    };

    request_facts facts;
    admitted_call call;
    phase_t phase = phase_t::queued;
    instant retry_at;
    bool claimed = false;
    bool sending = false;      ///< bytes of the present attempt are, or are about to be, sent
    bool may_have_run = false; ///< in an attempt that has ended
    bool answered = false;     ///< the head of the response was passed to the caller
    std::uint64_t events = 0;  ///< number of whole events passed to the caller
    int attempts = 0;
    attempt_id attempt;           ///< the latest attempt
    runner_id upstream;           ///< upstream of the latest attempt
    endpoint address;             ///< address of `upstream`
    bool leaving = false;         ///< `upstream` was draining when the attempt began
    instant began_at;             ///< start of the latest attempt
    bool asked_for_pause = false; ///< the response to the latest attempt asked for a pause

    /// Records the failure of the latest attempt and returns the input of the failure rule.
    [[nodiscard]] failed_attempt fail(attempt_end how);
};

/// Owns all open requests of a daemon and the index of their running attempts. A reference is valid
/// until its request is closed. Makes no decisions.
class open_requests {
public:
    /// Adds a request, replacing one with the same id.
    open_request& add(request_facts facts, admitted_call call);
    /// Removes the request. `request` may refer to the id stored in the request itself.
    void close(const request_id& request);
    /// Returns null if the request is not open.
    [[nodiscard]] open_request* find(const request_id& request);
    /// Returns the request, which must be open.
    [[nodiscard]] open_request& at(const request_id& request) { return requests_.at(request); }

    /// Starts a new attempt of the request at `upstream`, under a new attempt id.
    void begin_attempt(instant now, open_request& it, const runner_id& upstream);
    /// Removes the attempt: `find_attempt` no longer finds it.
    void end_attempt(attempt_id attempt) { attempts_.erase(attempt.value); }
    /// Returns the request of the attempt, or null if the attempt has ended.
    [[nodiscard]] open_request* find_attempt(attempt_id attempt);
    [[nodiscard]] const open_request* find_attempt(attempt_id attempt) const;

    /// Returns the requests whose pause before the next attempt is over, in order of their ids.
    [[nodiscard]] std::vector<request_id> due_for_retry(instant now) const;
    /// Returns the waiting requests of which nothing ran, in order of their ids.
    [[nodiscard]] std::vector<request_id> not_yet_run() const;
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<request_id, open_request> requests_;
    std::unordered_map<std::uint64_t, request_id> attempts_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace cedarpoint

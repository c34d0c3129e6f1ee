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

/// A request between its admission and its final answer.
struct open_request {
    enum class phase {
        claiming,   ///< waits for the word of the account's home failure domain
        queued,     ///< waits for a free slot
        running,    ///< its attempt is with a runner
        backing_off ///< rests until `retry_at`
    };

    request_facts facts;
    admitted_call call;
    phase at = phase::queued;
    instant retry_at;
    bool claimed = false;
    bool sending = false;     ///< the present attempt handed bytes to its connection
    bool sent = false;        ///< an attempt that has ended may have run
    bool answered = false;    ///< the answer's head went to the caller
    std::uint64_t events = 0; ///< whole events that the caller has
    int attempts = 0;
    attempt_id attempt;           ///< the latest
    runner_id upstream;           ///< of the latest attempt
    endpoint address;             ///< of that upstream
    bool leaving = false;         ///< that upstream, when the attempt began
    instant began_at;             ///< the latest attempt
    bool asked_for_pause = false; ///< its runner, in its answer

    /// Notes that its attempt ended so, and says what the failure rule must know.
    [[nodiscard]] failed_attempt fail(attempt_end how);
};

/// All open requests of a daemon and the attempts that run for them. Owns them; a reference stays
/// good until its request is closed. Relies on its user for every decision.
class open_requests {
public:
    /// Opens a request; one with the same id is replaced.
    open_request& add(request_facts facts, admitted_call call);
    /// `request` may be the request's own copy of its id.
    void close(const request_id& request);
    /// Null if it is not open.
    [[nodiscard]] open_request* find(const request_id& request);
    /// It must be open.
    [[nodiscard]] open_request& at(const request_id& request) { return requests_.at(request); }

    /// Gives the request a new attempt, with a number of its own, at the place.
    void begin_attempt(instant now, open_request& it, const runner_id& upstream);
    /// From now on nothing is heard of the attempt.
    void end_attempt(attempt_id attempt) { attempts_.erase(attempt.value); }
    /// The request that the attempt runs for. Null if the attempt has ended.
    [[nodiscard]] open_request* find_attempt(attempt_id attempt);
    [[nodiscard]] const open_request* find_attempt(attempt_id attempt) const;

    /// Those whose pause before the next attempt is over, in order of their ids.
    [[nodiscard]] std::vector<request_id> rested(instant now) const;
    /// Those that wait and of which nothing ran, in order of their ids.
    [[nodiscard]] std::vector<request_id> untouched() const;
    [[nodiscard]] std::size_t size() const { return requests_.size(); }

private:
    std::unordered_map<request_id, open_request> requests_;
    std::unordered_map<std::uint64_t, request_id> attempts_;
    std::uint64_t last_attempt_ = 0;
};

} // namespace cedarpoint

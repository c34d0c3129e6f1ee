#pragma once

#include "cedarpoint/config/configuration.h"
#include "cedarpoint/core/ids.h"
#include "cedarpoint/core/time.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace cedarpoint {

/// A request that waits for a free slot.
struct waiting {
    request_id request;
    client_account_id account;
    int weight = 1;
    priority_class priority = priority_class::normal;
    instant since;
    instant give_up; ///< the deadline, or the end of the longest wait
};

/// Requests with the same routes that wait for a slot. Owns their order:
///   class    alarm, then normal, then bulk; a request that has waited `promote_after` counts as
///            one class higher, so that nothing starves
///   account  within a class, the account that was served least for its weight (as in start-time
///            fair queueing; a request costs 1 / weight)
///   arrival  within an account and class, first come first served
/// Relies on its user to remove what it serves or gives up.
class wait_queue {
public:
    /// Requests, over all classes and accounts.
    static constexpr std::size_t max_length = 2048;
    static constexpr duration promote_after = seconds{20};

    /// False if the queue is full; `shed` then names a request that may have to give its place.
    [[nodiscard]] bool push(const waiting& it);
    /// The request to give up so that one of `priority` can be let in: the newest of the lowest
    /// class that has one. Empty if only this class and higher ones wait.
    [[nodiscard]] std::optional<request_id> shed(priority_class priority);
    /// The next request that should run; it stays queued until `remove`. Empty if none waits.
    [[nodiscard]] std::optional<request_id> next(instant now) const;
    /// `served` counts it against its account's share. Nothing happens if it is not queued.
    void remove(const request_id& request, bool served);
    /// Takes out every request whose time to give up has come, and names them.
    [[nodiscard]] std::vector<request_id> expire(instant now);

    [[nodiscard]] std::size_t size() const { return size_; }

private:
    static constexpr std::size_t classes = 3;

    /// One account's requests of one class.
    struct lane {
        std::deque<waiting> requests;
        double virtual_time = 0; ///< requests served so far, over weight
    };
    using lanes = std::map<client_account_id, lane>;

    std::array<lanes, classes> by_class_; ///< by `priority_class`; the first is the highest
    std::array<double, classes> clock_{}; ///< highest virtual time at which one was served
    std::size_t size_ = 0;
};

} // namespace cedarpoint
